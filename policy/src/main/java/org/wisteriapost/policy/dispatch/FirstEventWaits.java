package org.wisteriapost.policy.dispatch;

import java.time.Duration;

/**
 * Longest recent waits for a first event, separately for requests with regular rank and
 * for those with the rank of late requests.
 *
 * In a burst the waits at runners grow within a second. If the wait of normal load were
 * assumed, requests sent shortly before a target weights version takes effect would start
 * on an older version after that time.
 */
final class FirstEventWaits {

	// A burst lasts some seconds; earlier waits do not predict the current ones.
	private static final long WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

	private final MaxWindow inTime = new MaxWindow();

	private final MaxWindow late = new MaxWindow();

	/**
	 * Records the wait of a request, including one that is still waiting.
	 * @param late whether the request has the rank of late requests
	 */
	void recordWait(boolean late, long waitNanos, long nowNanos) {
		window(late).recordWait(waitNanos, nowNanos);
	}

	/**
	 * Returns the longest wait within the last two to four seconds.
	 * @param late whether to return the wait of requests with the rank of late requests
	 */
	long maxNanos(boolean late, long nowNanos) {
		return window(late).maxNanos(nowNanos);
	}

	private MaxWindow window(boolean late) {
		return late ? this.late : this.inTime;
	}

	private static final class MaxWindow {

		private long startNanos = Long.MIN_VALUE / 2;

		private long max;

		private long previousMax;

		private void recordWait(long waitNanos, long nowNanos) {
			rotate(nowNanos);
			this.max = Math.max(this.max, waitNanos);
		}

		private long maxNanos(long nowNanos) {
			rotate(nowNanos);
			return Math.max(this.max, this.previousMax);
		}

		private void rotate(long nowNanos) {
			long elapsed = nowNanos - this.startNanos;
			if (elapsed >= WINDOW_NANOS) {
				this.previousMax = (elapsed < 2 * WINDOW_NANOS) ? this.max : 0;
				this.max = 0;
				this.startNanos = nowNanos;
			}
		}

	}

}
