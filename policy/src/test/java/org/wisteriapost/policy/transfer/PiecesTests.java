package org.wisteriapost.policy.transfer;

import java.util.BitSet;
import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class PiecesTests {

	private static final WeightFile MODEL = Weights.file("model", "a", "b", "a");

	private static final WeightFile ADAPTER = Weights.file("adapter", "c", "b");

	@Test
	void piecesRunThroughAllFiles() {
		Pieces pieces = Pieces.of(List.of(MODEL, ADAPTER));
		assertThat(pieces.count(), is(5));
		assertThat(pieces.hash(3), is("c"));
		assertThat(pieces.index(4), is(1));
		assertThat(pieces.piece(ADAPTER.digest(), 1), is(OptionalInt.of(4)));
	}

	@Test
	void indexOutsideItsFileOrAnUnknownFileIsNoPiece() {
		Pieces pieces = Pieces.of(List.of(MODEL, ADAPTER));
		assertThat(pieces.piece(ADAPTER.digest(), 2), is(OptionalInt.empty()));
		assertThat(pieces.piece("other", 0), is(OptionalInt.empty()));
	}

	@Test
	void sameContentIsFetchedOnce() {
		Pieces pieces = Pieces.of(List.of(MODEL, ADAPTER, MODEL));
		assertThat(pieces.count(), is(5));
		assertThat(pieces.distinct(), is(bits(0, 1, 3)));
		assertThat(pieces.twins(0), is(new int[] { 2 }));
		assertThat(pieces.twins(1), is(new int[] { 4 }));
	}

	@Test
	void unchangedChunksOfAHeldFileAreCopied() {
		Pieces wanted = Pieces.of(List.of(Weights.file("model-2", "a", "x", "b")));
		LocalCopies.HeldFile held = new LocalCopies.HeldFile(MODEL, "old", bits(0, 1, 2));
		assertThat(LocalCopies.plan(wanted, List.of(held), new BitSet()),
				is(List.of(new LocalCopies.Copy("old", 0, 0), new LocalCopies.Copy("old", 1, 2))));
	}

	@Test
	void nothingIsCopiedThatIsNotHeldOrAlreadyThere() {
		Pieces wanted = Pieces.of(List.of(Weights.file("model-2", "a", "x", "b")));
		LocalCopies.HeldFile held = new LocalCopies.HeldFile(MODEL, "old", bits(0));
		assertThat(LocalCopies.plan(wanted, List.of(held), bits(0)), is(empty()));
	}

	private static BitSet bits(int... set) {
		BitSet bits = new BitSet();
		for (int bit : set) {
			bits.set(bit);
		}
		return bits;
	}

}
