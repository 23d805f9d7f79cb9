package org.wisteriapost.policy.dispatch;

import java.time.Duration;

/**
 * The longest that a request has waited for its first event of late.
 *
 * Load: a burst, in which waits at runners grow within a second. Harm prevented: what is
 * sent shortly before named weights have to be in force begins after that on older ones,
 * when the wait of calm times is counted on.
 */
final class SlowestStart {

	// A burst lasts some seconds; what was seen before it says nothing of it.
	private static final long WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

	private long sinceNanos = Long.MIN_VALUE / 2;

	private long slowest;

	private long slowestBefore;

	/**
	 * Notes how long a request has waited, also one that still waits.
	 */
	void waited(long waitNanos, long nowNanos) {
		turn(nowNanos);
		this.slowest = Math.max(this.slowest, waitNanos);
	}

	/**
	 * Returns the longest wait of the last two to four seconds.
	 */
	long nanos(long nowNanos) {
		turn(nowNanos);
		return Math.max(this.slowest, this.slowestBefore);
	}

	private void turn(long nowNanos) {
		long passed = nowNanos - this.sinceNanos;
		if (passed >= WINDOW_NANOS) {
			this.slowestBefore = (passed < 2 * WINDOW_NANOS) ? this.slowest : 0;
			this.slowest = 0;
			this.sinceNanos = nowNanos;
		}
	}

}
