package org.wisteriapost.agent.transfer;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.wisteriapost.policy.transfer.ChunkIndex;
import org.wisteriapost.policy.transfer.LocalCopyPlanner;
import org.wisteriapost.protocol.outside.WeightStore;

/**
 * Finds out what a fetch need not fetch: what the VM's store still holds from before a
 * restart, and what another file there has in common with it. Everything is read back and
 * hashed, since nobody watched the store while this process was not there.
 */
final class ReadBack {

	private static final int AT_ONCE = 4;

	private final WeightStore store;

	private final TransferThread thread;

	private final ChunkIndex pieces;

	ReadBack(WeightStore store, TransferThread thread, ChunkIndex pieces) {
		this.store = store;
		this.thread = thread;
		this.pieces = pieces;
	}

	/**
	 * Returns the pieces that are held and whose hashes are right.
	 * @param known pieces that this process itself has verified
	 */
	CompletableFuture<BitSet> held(BitSet known) {
		CompletableFuture<BitSet> listed = CompletableFuture.completedFuture(new BitSet());
		for (int number = 0; number < this.pieces.files().size(); number++) {
			int first = this.pieces.firstChunkOf(number);
			int size = this.pieces.files().get(number).chunks().size();
			CompletableFuture<BitSet> chunks = this.store.held(this.pieces.digestOfFile(number))
				.exceptionally((failure) -> new BitSet());
			listed = listed.thenCombine(chunks, (all, some) -> {
				some.stream().filter((index) -> index < size).forEach((index) -> all.set(first + index));
				return all;
			});
		}
		return listed.thenCompose((all) -> {
			all.andNot(known);
			List<LocalCopyPlanner.Copy> checks = all.stream()
				.mapToObj((piece) -> new LocalCopyPlanner.Copy(this.pieces.digest(piece),
						this.pieces.indexInFile(piece), piece))
				.toList();
			return run(checks, false);
		});
	}

	/**
	 * Copies within the store and returns the pieces for which that worked.
	 */
	CompletableFuture<BitSet> copy(List<LocalCopyPlanner.Copy> copies) {
		return run(copies, true);
	}

	private CompletableFuture<BitSet> run(List<LocalCopyPlanner.Copy> list, boolean store) {
		CompletableFuture<BitSet> done = new CompletableFuture<>();
		Work work = new Work(new ArrayDeque<>(list), new BitSet(), new AtomicInteger(AT_ONCE), store, done);
		for (int i = 0; i < AT_ONCE; i++) {
			this.thread.compute(() -> next(work));
		}
		return done;
	}

	private void next(Work work) {
		LocalCopyPlanner.Copy copy = work.poll();
		if (copy == null) {
			if (work.running.decrementAndGet() == 0) {
				work.done.complete(work.good);
			}
			return;
		}
		this.store.get(copy.sourceDigest(), copy.sourceIndex())
			.thenCompose((bytes) -> check(work, copy, bytes))
			.whenComplete((none, failure) -> this.thread.compute(() -> next(work)));
	}

	private CompletableFuture<Void> check(Work work, LocalCopyPlanner.Copy copy, Optional<byte[]> bytes) {
		int piece = copy.chunk();
		if (bytes.isEmpty() || !ChunkShelf.matches(bytes.get(), this.pieces.hash(piece))) {
			return CompletableFuture.completedFuture(null);
		}
		if (!work.store) {
			work.add(piece);
			return CompletableFuture.completedFuture(null);
		}
		return this.store.put(this.pieces.digest(piece), this.pieces.indexInFile(piece), bytes.get())
			.thenRun(() -> work.add(piece));
	}

	private record Work(Queue<LocalCopyPlanner.Copy> queue, BitSet good, AtomicInteger running, boolean store,
			CompletableFuture<BitSet> done) {

		private LocalCopyPlanner.Copy poll() {
			synchronized (this.queue) {
				return this.queue.poll();
			}
		}

		private void add(int piece) {
			synchronized (this.good) {
				this.good.set(piece);
			}
		}

	}

}
