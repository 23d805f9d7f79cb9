package org.wisteriapost.policy.transfer;

import java.util.BitSet;

/**
 * Tracks which chunks are stored, being stored, and may still be requested.
 */
final class LocalChunks {

	private final int count;

	private final BitSet held = new BitSet();

	private final BitSet storing = new BitSet();

	private final BitSet requestable;

	private final BitSet unannounced = new BitSet();

	LocalChunks(ChunkIndex chunks) {
		this.count = chunks.count();
		this.requestable = chunks.distinct();
	}

	BitSet held() {
		return this.held;
	}

	/**
	 * Returns the missing chunks that are not being requested from any source.
	 */
	BitSet requestable() {
		return this.requestable;
	}

	boolean holds(int chunk) {
		return this.held.get(chunk);
	}

	/**
	 * Returns whether a chunk is neither stored nor being stored.
	 */
	boolean missing(int chunk) {
		return !this.held.get(chunk) && !this.storing.get(chunk);
	}

	boolean complete() {
		return this.held.cardinality() == this.count;
	}

	void addHeld(BitSet held) {
		this.held.or(held);
		this.unannounced.or(held);
		this.requestable.andNot(held);
	}

	void makeRequestable(int chunk) {
		if (missing(chunk)) {
			this.requestable.set(chunk);
		}
	}

	void markRequested(int chunk) {
		this.requestable.clear(chunk);
	}

	int storingCount() {
		return this.storing.cardinality();
	}

	void storing(int chunk) {
		this.requestable.clear(chunk);
		this.storing.set(chunk);
	}

	void markStored(int chunk) {
		this.storing.clear(chunk);
		this.requestable.clear(chunk);
		this.held.set(chunk);
		this.unannounced.set(chunk);
	}

	void markLost(int chunk) {
		this.held.clear(chunk);
		this.storing.clear(chunk);
		this.unannounced.clear(chunk);
	}

	boolean hasUnannounced() {
		return !this.unannounced.isEmpty();
	}

	/**
	 * Returns the chunks stored since the last call.
	 */
	BitSet takeUnannounced() {
		BitSet taken = (BitSet) this.unannounced.clone();
		this.unannounced.clear();
		return taken;
	}

}
