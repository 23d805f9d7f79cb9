package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;

class PlaceReadersTests {

	private static final int CHUNKS = 64;

	private static final long DEADLINE = Duration.ofMillis(600).toNanos();

	// A piece on its way through a reader takes up to this long on a busy link; asked for
	// sooner it crosses between the places twice.
	private static final long LEAST_WAIT = Duration.ofMillis(1500).toNanos();

	private final Pieces pieces = Pieces.of(List.of(new WeightFile("lm", "2", "lm/2", "2", CHUNKS * 10L, 10,
			IntStream.range(0, CHUNKS).mapToObj((i) -> Digests.sha256(("chunk" + i).getBytes())).toList())));

	private static List<Peer> place() {
		return List.of(new Peer("a", "here"), new Peer("b", "here"), new Peer("c", "here"), new Peer("d", "there"));
	}

	private PlaceReaders readers(Peer self, Set<String> failing) {
		PlaceReaders readers = new PlaceReaders(this.pieces, self);
		readers.update(place().stream().filter((peer) -> !peer.equals(self)).toList(), failing);
		return readers;
	}

	// Three VMs of a place want the same piece from another place. Exactly one of them
	// may
	// ask for it there, so that it crosses the link between the places once.
	@Test
	void everyPieceHasOneReaderInAPlace() {
		List<BitSet> allowed = new ArrayList<>();
		place().stream()
			.filter((peer) -> peer.place().equals("here"))
			.forEach((peer) -> allowed.add(readers(peer, Set.of()).allowed()));
		for (int piece = 0; piece < CHUNKS; piece++) {
			int at = piece;
			assertThat(allowed.stream().filter((bits) -> bits.get(at)).count(), Matchers.equalTo(1L));
		}
	}

	@Test
	void theReadersOfAFailedVmAreTheOthers() {
		BitSet alone = readers(new Peer("a", "here"), Set.of("b", "c")).allowed();
		assertThat(alone.cardinality(), Matchers.equalTo(CHUNKS));
	}

	// The reader of a piece is dark and nobody knows yet. The others wait for it no
	// longer
	// than the deadline.
	@Test
	void aPieceThatIsHeldElsewhereIsNotWaitedForWithoutEnd() {
		PlaceReaders readers = readers(new Peer("a", "here"), Set.of());
		PieceChoice choice = new PieceChoice(CHUNKS, TransferLimits.standard(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(1));
		BitSet all = new BitSet();
		all.set(0, CHUNKS);
		choice.added(all);
		readers.tick(all, choice, 0, DEADLINE);
		assertThat(readers.allowed().cardinality(), Matchers.lessThan(CHUNKS));
		readers.tick(all, choice, LEAST_WAIT - 1, DEADLINE);
		assertThat(readers.allowed().cardinality(), Matchers.lessThan(CHUNKS));
		readers.tick(all, choice, LEAST_WAIT + 1, DEADLINE);
		assertThat(readers.allowed().cardinality(), Matchers.equalTo(CHUNKS));
	}

}
