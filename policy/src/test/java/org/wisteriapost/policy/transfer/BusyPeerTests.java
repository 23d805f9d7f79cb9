package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

class BusyPeerTests {

	private static final long MILLI = 1_000_000;

	private static final int CHUNK = 32_768;

	private static final Peer OTHER = new Peer("other", "place");

	private static final Peer THIRD = new Peer("third", "place");

	private final Pieces pieces = Pieces.of(List.of(new WeightFile("model", "1", "model", "etag", 40L * CHUNK, CHUNK,
			IntStream.range(0, 40).mapToObj((index) -> "hash-" + index).toList())));

	private final TransferMachine machine = TransferMachine.create(this.pieces, new Peer("self", "place"),
			TransferLimits.standard(), RandomSource.XO_RO_SHI_RO_128_PP.create(7), Invariants.create());

	private long now = Duration.ofHours(5).toNanos();

	// A peer has given the first part of a piece and is busy from then on: a dozen fetch
	// from it over a narrow link. Another neighbour holds the same piece and is idle.
	@Test
	void aBegunPieceDoesNotWaitForABusyPeerWithoutEnd() {
		apply(new TransferEvent.RateSet(300_000));
		apply(new TransferEvent.PeersSeen(List.of(OTHER, THIRD)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		apply(new TransferEvent.LinkUp(THIRD.vm()));
		apply(new TransferEvent.Held(new BitSet()));
		BitSet one = new BitSet();
		one.set(23);
		apply(new TransferEvent.PeerHolds(OTHER.vm(), one));
		this.now += 200 * MILLI;
		List<TransferEffect.Request> open = of(OTHER, apply(new TransferEvent.Tick()));
		assertThat(open.size(), is(1));
		List<TransferEffect> effects = new ArrayList<>(
				apply(new TransferEvent.PartCame(23, OTHER.vm(), open.getFirst().length())));
		effects.addAll(apply(new TransferEvent.PeerHolds(THIRD.vm(), one)));
		open = new ArrayList<>(of(OTHER, effects));
		int busy = 0;
		for (int tick = 0; tick < 1500; tick++) {
			this.now += 20 * MILLI;
			List<TransferEffect> fresh = new ArrayList<>(apply(new TransferEvent.Tick()));
			for (TransferEffect.Request request : open) {
				busy++;
				fresh.addAll(apply(new TransferEvent.Refused(request.piece(), OTHER.vm(), true)));
			}
			open = of(OTHER, fresh);
			effects.addAll(fresh);
		}
		assertThat("busy " + busy + " times in 30 s; asked of the idle one",
				of(THIRD, effects).stream().map(TransferEffect.Request::piece).toList(), hasItem(23));
	}

	// Weights are fetched, as on a site, of eight peers that hold all. Six are beside
	// engines whose links are squeezed: they give the first part of each piece and are
	// busy whenever more is asked for. Two are idle and give every part at once; all
	// pieces can be had from them.
	@ParameterizedTest
	@ValueSource(ints = { 50, 80, 95, 100 })
	void busyPeersDoNotStopWhatComesFromIdleOnes(int busyOfHundred) {
		Random chance = new Random(busyOfHundred);
		TransferLimits site = new TransferLimits(TransferLimits.Design.SWARM, 1, 2, 8, 6, 1, Duration.ofMillis(600),
				Duration.ofMillis(80), 16, true, true);
		TransferMachine fetch = TransferMachine.create(this.pieces, new Peer("self", "place"), site,
				RandomSource.XO_RO_SHI_RO_128_PP.create(7), Invariants.create());
		List<Peer> peers = IntStream.range(0, 8).mapToObj((index) -> new Peer("peer-" + index, "place")).toList();
		fetch.apply(new TransferEvent.RateSet(565_000), this.now);
		fetch.apply(new TransferEvent.PeersSeen(peers), this.now);
		BitSet all = new BitSet();
		all.set(0, this.pieces.count());
		List<TransferEffect> effects = new ArrayList<>();
		for (Peer peer : peers) {
			effects.addAll(fetch.apply(new TransferEvent.LinkUp(peer.vm()), this.now));
			effects.addAll(fetch.apply(new TransferEvent.PeerHolds(peer.vm(), all), this.now));
		}
		effects.addAll(fetch.apply(new TransferEvent.Held(new BitSet()), this.now));
		int asksOfIdle = 0;
		for (int tick = 0; tick < 1500; tick++) {
			this.now += 20 * MILLI;
			List<TransferEffect> before = effects;
			effects = new ArrayList<>();
			for (TransferEffect effect : before) {
				if (effect instanceof TransferEffect.Store store) {
					effects.addAll(fetch.apply(new TransferEvent.Stored(store.piece()), this.now));
				}
				else if (effect instanceof TransferEffect.Request request) {
					boolean idle = request.vm().compareTo("peer-6") >= 0;
					asksOfIdle += (idle && tick >= 500) ? 1 : 0;
					effects
						.addAll(fetch.apply(answer(request, idle || chance.nextInt(100) >= busyOfHundred), this.now));
				}
			}
			effects.addAll(fetch.apply(new TransferEvent.Tick(), this.now));
		}
		assertThat("pieces after 30 s, asked of the idle ones in the last 20 s: " + asksOfIdle, fetch.verified(),
				is(40));
	}

	private static TransferEvent answer(TransferEffect.Request request, boolean idle) {
		if (!idle && request.offset() > 0) {
			return new TransferEvent.Refused(request.piece(), request.vm(), true);
		}
		return (request.length() > 0)
				? new TransferEvent.PartCame(request.piece(), request.vm(), request.offset() + request.length())
				: new TransferEvent.Verified(request.piece(), request.vm());
	}

	private List<TransferEffect> apply(TransferEvent event) {
		return this.machine.apply(event, this.now);
	}

	private static List<TransferEffect.Request> of(Peer peer, List<TransferEffect> effects) {
		return effects.stream()
			.filter(TransferEffect.Request.class::isInstance)
			.map(TransferEffect.Request.class::cast)
			.filter((request) -> request.vm().equals(peer.vm()))
			.toList();
	}

}
