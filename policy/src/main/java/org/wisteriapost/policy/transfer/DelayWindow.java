package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * A number of parts in flight that follows the queueing delay that they cause, like
 * LEDBAT (RFC 6817): it grows while they cause little delay, and is halved when two in a
 * row cause much. One part with little delay shows that the local link is free, whatever
 * delayed the others.
 */
final class DelayWindow {

	private static final int MIN_SIZE = 1;

	private static final int SHRINK_AFTER_SLOW = 2;

	// Six parts sent in turn take 0.08 s each on a link saturated by weights alone.
	private static final long GROW_BELOW_NANOS = Duration.ofMillis(150).toNanos();

	// The maximum delay that weight transfers may add to a request to the engine or to
	// its response.
	private static final long SHRINK_ABOVE_NANOS = Duration.ofMillis(250).toNanos();

	// Parts in flight at the same time are late together and count once.
	private static final long SHRINK_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

	private final int maxSize;

	private int size;

	private int consecutiveSlow;

	private long lastShrunkNanos = Long.MIN_VALUE / 2;

	DelayWindow(int initialSize, int maxSize) {
		this.maxSize = maxSize;
		this.size = initialSize;
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns whether a delay is so small that more parts may be in flight.
	 */
	static boolean isSmall(long delayNanos) {
		return delayNanos < GROW_BELOW_NANOS;
	}

	/**
	 * Returns whether a delay is acceptable for requests to the engine and its responses.
	 */
	static boolean isAcceptable(long delayNanos) {
		return delayNanos <= SHRINK_ABOVE_NANOS;
	}

	boolean isMinimal() {
		return this.size == MIN_SIZE;
	}

	/**
	 * Records the delay that a part met.
	 */
	void recordDelay(long delayNanos, long nowNanos) {
		if (isSmall(delayNanos)) {
			this.consecutiveSlow = 0;
			this.size = Math.min(this.maxSize, this.size + 1);
		}
		else if (!isAcceptable(delayNanos)) {
			recordLate(nowNanos);
		}
	}

	/**
	 * Records that parts were lost, or delayed by an unknown time.
	 */
	void recordLoss() {
		this.size = MIN_SIZE;
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
