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
 * Finds the chunks of a fetch that are already in the VM's store: those from before a
 * restart of this process, and those that other files there share. Every chunk is read
 * and hashed, since it may have been corrupted while this process was not running.
 */
final class StoreScanner {

	private static final int MAX_CONCURRENT_READS = 4;

	private final WeightStore store;

	private final TransferThread thread;

	private final ChunkIndex chunks;

	StoreScanner(WeightStore store, TransferThread thread, ChunkIndex chunks) {
		this.store = store;
		this.thread = thread;
		this.chunks = chunks;
	}

	/**
	 * Returns the chunks in the store whose hashes match the manifest.
	 * @param alreadyVerified chunks verified by this process, which are not read again
	 */
	CompletableFuture<BitSet> findValidChunks(BitSet alreadyVerified) {
		CompletableFuture<BitSet> listed = CompletableFuture.completedFuture(new BitSet());
		for (int fileNumber = 0; fileNumber < this.chunks.files().size(); fileNumber++) {
			int firstChunk = this.chunks.firstChunkOf(fileNumber);
			int chunkCount = this.chunks.files().get(fileNumber).chunks().size();
			CompletableFuture<BitSet> listedInFile = this.store.storedChunks(this.chunks.digestOfFile(fileNumber))
				.exceptionally((failure) -> new BitSet());
			listed = listed.thenCombine(listedInFile, (all, some) -> {
				some.stream().filter((index) -> index < chunkCount).forEach((index) -> all.set(firstChunk + index));
				return all;
			});
		}
		return listed.thenCompose((all) -> {
			all.andNot(alreadyVerified);
			List<LocalCopyPlanner.Copy> checks = all.stream()
				.mapToObj((chunk) -> new LocalCopyPlanner.Copy(this.chunks.digest(chunk),
						this.chunks.indexInFile(chunk), chunk))
				.toList();
			return runBatch(checks, false);
		});
	}

	/**
	 * Copies chunks within the store and returns those that were copied.
	 */
	CompletableFuture<BitSet> copy(List<LocalCopyPlanner.Copy> copies) {
		return runBatch(copies, true);
	}

	private CompletableFuture<BitSet> runBatch(List<LocalCopyPlanner.Copy> copies, boolean storeCopies) {
		CompletableFuture<BitSet> result = new CompletableFuture<>();
		Batch batch = new Batch(new ArrayDeque<>(copies), new BitSet(), new AtomicInteger(MAX_CONCURRENT_READS),
				storeCopies, result);
		for (int i = 0; i < MAX_CONCURRENT_READS; i++) {
			this.thread.executeHashing(() -> processNext(batch));
		}
		return result;
	}

	private void processNext(Batch batch) {
		LocalCopyPlanner.Copy copy = batch.poll();
		if (copy == null) {
			if (batch.activeWorkers.decrementAndGet() == 0) {
				batch.result.complete(batch.validChunks);
			}
			return;
		}
		this.store.get(copy.sourceDigest(), copy.sourceIndex())
			.thenCompose((bytes) -> verify(batch, copy, bytes))
			.whenComplete((none, failure) -> this.thread.executeHashing(() -> processNext(batch)));
	}

	private CompletableFuture<Void> verify(Batch batch, LocalCopyPlanner.Copy copy, Optional<byte[]> bytes) {
		int chunk = copy.chunk();
		if (bytes.isEmpty() || !VerifiedChunks.matches(bytes.get(), this.chunks.hash(chunk))) {
			return CompletableFuture.completedFuture(null);
		}
		if (!batch.storeCopies) {
			batch.add(chunk);
			return CompletableFuture.completedFuture(null);
		}
		return this.store.put(this.chunks.digest(chunk), this.chunks.indexInFile(chunk), bytes.get())
			.thenRun(() -> batch.add(chunk));
	}

	private record Batch(Queue<LocalCopyPlanner.Copy> queue, BitSet validChunks, AtomicInteger activeWorkers,
			boolean storeCopies, CompletableFuture<BitSet> result) {

		private LocalCopyPlanner.Copy poll() {
			synchronized (this.queue) {
				return this.queue.poll();
			}
		}

		private void add(int chunk) {
			synchronized (this.validChunks) {
				this.validChunks.set(chunk);
			}
		}

	}

}
