package org.wisteriapost.protocol.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory of all responses of a process that are kept until they are complete.
 *
 * Several servers may send without an end at once, and each response is within its own
 * limit. When the memory is used up, the largest response gives up its share, so that
 * those of sound servers, which are small, go on.
 */
public final class BufferQuota {

	// Of the heap. A response that is complete is copied and decoded.
	private static final int HEAP_DIVISOR = 8;

	private final long maxBytes;

	private final Set<Share> shares = new HashSet<>();

	private long bytes;

	private BufferQuota(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Returns a quota of the given size.
	 */
	public static BufferQuota of(long maxBytes) {
		return new BufferQuota(maxBytes);
	}

	/**
	 * Returns a quota for this process.
	 */
	static BufferQuota ofHeap() {
		return of(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
	}

	/**
	 * Returns the share of a response, which is empty.
	 * @param exceeded called at most once, by any thread, when the share is given up
	 */
	public Share open(Runnable exceeded) {
		return new Share(exceeded);
	}

	// Returns the share that has to be given up.
	private synchronized Optional<Share> resize(Share share, long size) {
		this.bytes += size - share.size;
		share.size = size;
		if (size == 0) {
			this.shares.remove(share);
			return Optional.empty();
		}
		this.shares.add(share);
		if (this.bytes <= this.maxBytes) {
			return Optional.empty();
		}
		Optional<Share> largest = this.shares.stream().max(Comparator.comparingLong((one) -> one.size));
		largest.ifPresent((one) -> {
			this.shares.remove(one);
			this.bytes -= one.size;
			one.size = 0;
		});
		return largest;
	}

	/** The memory of one response. */
	public final class Share implements AutoCloseable {

		private final Runnable exceeded;

		private long size;

		private Share(Runnable exceeded) {
			this.exceeded = exceeded;
		}

		/**
		 * Sets how many bytes are kept.
		 */
		public void resize(long size) {
			BufferQuota.this.resize(this, size).ifPresent((largest) -> largest.exceeded.run());
		}

		@Override
		public void close() {
			resize(0);
		}

	}

}
