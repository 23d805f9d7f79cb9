package org.wisteriapost.policy.dispatch;

import java.time.Duration;

/**
 * The longest that requests have waited for their first event of late, apart for those
 * that go first and for those that are late already and go last.
 *
 * Load: a burst, in which waits at runners grow within a second. Harm prevented: what is
 * sent shortly before named weights have to be in force begins after that on older ones,
 * when the wait of calm times is counted on.
 */
final class SlowestStart {

	// A burst lasts some seconds; what was seen before it says nothing of it.
	private static final long WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

	private final Window first = new Window();

	private final Window last = new Window();

	/**
	 * Notes how long a request has waited, also one that still waits.
	 * @param late whether it goes last at runners
	 */
	void waited(boolean late, long waitNanos, long nowNanos) {
		window(late).waited(waitNanos, nowNanos);
	}

	/**
	 * Returns the longest wait of the last two to four seconds.
	 * @param late of those that go last
	 */
	long nanos(boolean late, long nowNanos) {
		return window(late).nanos(nowNanos);
	}

	private Window window(boolean late) {
		return late ? this.last : this.first;
	}

	private static final class Window {

		private long sinceNanos = Long.MIN_VALUE / 2;

		private long slowest;

		private long slowestBefore;

		private void waited(long waitNanos, long nowNanos) {
			turn(nowNanos);
			this.slowest = Math.max(this.slowest, waitNanos);
		}

		private long nanos(long nowNanos) {
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

}
