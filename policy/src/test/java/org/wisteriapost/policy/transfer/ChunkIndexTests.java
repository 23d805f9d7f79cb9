package org.wisteriapost.policy.transfer;

import java.util.BitSet;
import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class ChunkIndexTests {

	private static final WeightFile MODEL = Weights.file("model", "a", "b", "a");

	private static final WeightFile ADAPTER = Weights.file("adapter", "c", "b");

	@Test
	void chunksAreNumberedThroughAllFiles() {
		ChunkIndex chunks = ChunkIndex.of(List.of(MODEL, ADAPTER));
		assertThat(chunks.count(), is(5));
		assertThat(chunks.hash(3), is("c"));
		assertThat(chunks.indexInFile(4), is(1));
		assertThat(chunks.chunk(ADAPTER.digest(), 1), is(OptionalInt.of(4)));
	}

	@Test
	void unknownFileOrIndexOutsideItsFileHasNoChunk() {
		ChunkIndex chunks = ChunkIndex.of(List.of(MODEL, ADAPTER));
		assertThat(chunks.chunk(ADAPTER.digest(), 2), is(OptionalInt.empty()));
		assertThat(chunks.chunk("other", 0), is(OptionalInt.empty()));
	}

	@Test
	void sameContentIsFetchedOnce() {
		ChunkIndex chunks = ChunkIndex.of(List.of(MODEL, ADAPTER, MODEL));
		assertThat(chunks.count(), is(5));
		assertThat(chunks.distinct(), is(bits(0, 1, 3)));
		assertThat(chunks.duplicates(0), is(new int[] { 2 }));
		assertThat(chunks.duplicates(1), is(new int[] { 4 }));
	}

	@Test
	void unchangedChunksOfAHeldFileAreCopied() {
		ChunkIndex wanted = ChunkIndex.of(List.of(Weights.file("model-2", "a", "x", "b")));
		LocalCopyPlanner.HeldFile held = new LocalCopyPlanner.HeldFile(MODEL, "old", bits(0, 1, 2));
		assertThat(LocalCopyPlanner.plan(wanted, List.of(held), new BitSet()),
				is(List.of(new LocalCopyPlanner.Copy("old", 0, 0), new LocalCopyPlanner.Copy("old", 1, 2))));
	}

	@Test
	void chunksNotHeldElsewhereOrAlreadyPresentAreNotCopied() {
		ChunkIndex wanted = ChunkIndex.of(List.of(Weights.file("model-2", "a", "x", "b")));
		LocalCopyPlanner.HeldFile held = new LocalCopyPlanner.HeldFile(MODEL, "old", bits(0));
		assertThat(LocalCopyPlanner.plan(wanted, List.of(held), bits(0)), is(empty()));
	}

	private static BitSet bits(int... set) {
		BitSet bits = new BitSet();
		for (int bit : set) {
			bits.set(bit);
		}
		return bits;
	}

}
