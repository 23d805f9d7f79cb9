package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertAll;

/**
 * The link of a VM beside an engine narrows while weights come in over it, in virtual
 * time.
 */
class SqueezedLinkTests {

	private static final double DECLARED = 665_000;

	private static final int CHUNK = 32_768;

	private final Invariants invariants = Invariants.create();

	private final Pieces pieces = Pieces.of(List.of(new WeightFile("model", "1", "model", "etag", 64L * CHUNK, CHUNK,
			IntStream.range(0, 64).mapToObj((index) -> "hash-" + index).toList())));

	// Callers are answered late or not at all by the engine beside, and what an entry has
	// given up begins there seconds later. The link carries a tenth or less of what it is
	// declared to; what was asked for waits on it, counts as stalled and is asked for
	// again elsewhere while it still comes, so the link is never empty again.
	@ParameterizedTest
	@CsvSource({ "44000, 1", "44000, 2", "44000, 3", "62500, 1", "118000, 1" })
	void requestsOfTheEngineWaitLittleBehindWeights(double squeezed, long seed) {
		SqueezedLink link = link(seed);
		link.run(0, 0.8);
		link.carries(squeezed);
		double most = link.run(0.8, 3);
		double later = link.run(3, 8);
		assertAll(() -> assertThat("seconds, at first", most, is(lessThan(1.5))),
				() -> assertThat("seconds, once it is known", later, is(lessThan(0.6))),
				() -> assertThat("pieces that came twice", link.doubled(), is(0)));
	}

	// A fetch that stands still would keep engines on the old version without end.
	@Test
	void weightsGoOnComingOverASqueezedLink() {
		SqueezedLink link = link(1);
		link.run(0, 0.8);
		link.carries(44_000);
		link.run(0.8, 3);
		int before = link.verified();
		link.run(3, 8);
		assertThat((link.verified() - before) * (double) CHUNK, is(greaterThan(0.5 * 5 * 44_000)));
	}

	@Test
	void aLinkThatIsWideAgainIsUsedWhole() {
		SqueezedLink link = link(1);
		link.run(0, 0.8);
		link.carries(44_000);
		link.run(0.8, 3);
		link.carries(DECLARED);
		link.run(3, 3.8);
		int before = link.verified();
		link.run(3.8, 4.8);
		assertThat((link.verified() - before) * (double) CHUNK, is(greaterThan(0.7 * 0.85 * DECLARED)));
	}

	private SqueezedLink link(long seed) {
		TransferLimits limits = new TransferLimits(TransferLimits.Design.SWARM, 1, 2, 8, 6, 1, Duration.ofMillis(600),
				Duration.ofMillis(80), 16, true, true);
		TransferMachine machine = TransferMachine.create(this.pieces, new Peer("self", "place"), limits,
				RandomSource.XO_RO_SHI_RO_128_PP.create(seed), this.invariants);
		List<Peer> peers = IntStream.range(0, 8).mapToObj((index) -> new Peer("peer-" + index, "place")).toList();
		SqueezedLink link = new SqueezedLink(machine, this.pieces, DECLARED, 0.85 * DECLARED);
		link.apply(new TransferEvent.RateSet(0.85 * DECLARED));
		link.apply(new TransferEvent.PeersSeen(peers));
		BitSet all = new BitSet();
		all.set(0, this.pieces.count());
		for (Peer peer : peers) {
			link.apply(new TransferEvent.LinkUp(peer.vm()));
			link.apply(new TransferEvent.PeerHolds(peer.vm(), all));
		}
		link.apply(new TransferEvent.Held(new BitSet()));
		assertThat(this.invariants.violations(), is(Map.of()));
		return link;
	}

}
