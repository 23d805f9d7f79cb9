package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * Limits how many parts of chunks may be in flight to this VM.
 *
 * When the VM's link has far less capacity than declared, requested parts queue on it for
 * seconds, requests to the engine on the same VM queue behind them, and callers time out.
 * Weight transfers therefore yield by the queueing delay that they cause, like LEDBAT
 * (RFC 6817): the window grows while a part takes little longer than the fastest one so
 * far, and is halved when two in a row take much longer. One fast part shows that the
 * local link is free, whichever peers sent the slow ones.
 */
final class RequestWindow {

	private static final int INITIAL_SIZE = 3;

	private static final int MIN_SIZE = 1;

	private static final int SHRINK_AFTER_SLOW = 2;

	// Six parts sent in turn take 0.08 s each on a link saturated by weights alone.
	private static final long GROW_BELOW_NANOS = Duration.ofMillis(150).toNanos();

	// The maximum delay that weight transfers may add to a request to the engine.
	private static final long SHRINK_ABOVE_NANOS = Duration.ofMillis(250).toNanos();

	// Parts requested together are late together and count once.
	private static final long SHRINK_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

	private final int maxSize;

	private int size;

	private int consecutiveSlow;

	private long minResponseNanos = Long.MAX_VALUE;

	private long lastShrunkNanos = Long.MIN_VALUE / 2;

	RequestWindow(int maxSize) {
		this.maxSize = maxSize;
		this.size = Math.min(maxSize, INITIAL_SIZE);
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns whether the window has shrunk below its initial size.
	 */
	boolean isLinkNarrow() {
		return this.size < Math.min(this.maxSize, INITIAL_SIZE);
	}

	/**
	 * Records the time from the request of a part to its last byte.
	 */
	void recordResponseTime(long responseNanos, long nowNanos) {
		this.minResponseNanos = Math.min(this.minResponseNanos, responseNanos);
		long delay = responseNanos - this.minResponseNanos;
		if (delay < GROW_BELOW_NANOS) {
			this.consecutiveSlow = 0;
			this.size = Math.min(this.maxSize, this.size + 1);
		}
		else if (delay > SHRINK_ABOVE_NANOS) {
			recordLate(nowNanos);
		}
	}

	/**
	 * Records that a part exceeded the acceptable delay or timed out.
	 */
	void recordLate(long nowNanos) {
		this.consecutiveSlow++;
		if (this.consecutiveSlow >= SHRINK_AFTER_SLOW && nowNanos - this.lastShrunkNanos >= SHRINK_INTERVAL_NANOS) {
			this.consecutiveSlow = 0;
			this.lastShrunkNanos = nowNanos;
			this.size = Math.max(MIN_SIZE, this.size / 2);
		}
	}

}
