package org.wisteriapost.standin.bench.weights;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.protocol.outside.WeightStore;

/**
 * A weight store that checks each chunk against the expected content and records only
 * which chunks it holds, so that many stores fit into one process.
 */
final class LoopbackStore implements WeightStore {

	private final byte[] content;

	private final int chunkBytes;

	private final BitSet held = new BitSet();

	private int wrongChunks;

	private volatile boolean stalled;

	LoopbackStore(byte[] content, int chunkBytes) {
		this.content = content;
		this.chunkBytes = chunkBytes;
	}

	/**
	 * Stops completing calls.
	 */
	void stall() {
		this.stalled = true;
	}

	/**
	 * Returns the number of chunks that were stored with wrong content.
	 */
	synchronized int wrongChunks() {
		return this.wrongChunks;
	}

	@Override
	public synchronized CompletableFuture<Void> put(String file, int index, byte[] chunk) {
		if (this.stalled) {
			return new CompletableFuture<>();
		}
		int from = index * this.chunkBytes;
		boolean same = Arrays.equals(chunk, 0, chunk.length, this.content, from, from + chunk.length);
		this.wrongChunks += same ? 0 : 1;
		this.held.set(index);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public synchronized CompletableFuture<Optional<byte[]>> get(String file, int index) {
		if (this.stalled) {
			return new CompletableFuture<>();
		}
		int from = index * this.chunkBytes;
		int to = Math.min(this.content.length, from + this.chunkBytes);
		return CompletableFuture.completedFuture(
				this.held.get(index) ? Optional.of(Arrays.copyOfRange(this.content, from, to)) : Optional.empty());
	}

	@Override
	public synchronized CompletableFuture<BitSet> storedChunks(String file) {
		return CompletableFuture.completedFuture((BitSet) this.held.clone());
	}

	@Override
	public synchronized CompletableFuture<Void> delete(String file) {
		this.held.clear();
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public void close() {
	}

}
