package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * Computes the timeout after which an unanswered request to a peer counts as stalled.
 *
 * A stalled link that stays open reports no error, so a request counts as stalled when no
 * part of it completes within the timeout. The timeout is a multiple of the mean response
 * time, so that slow links of a busy fleet are not mistaken for dead ones, and is bounded
 * on both sides.
 */
final class RequestTimeout {

	private static final double SMOOTHING_FACTOR = 0.1;

	private static final double MEAN_MULTIPLIER = 4;

	private static final long MAX_NANOS = Duration.ofSeconds(30).toNanos();

	private final long minNanos;

	private double meanNanos;

	RequestTimeout(Duration minimum) {
		this.minNanos = minimum.toNanos();
	}

	void recordResponseTime(long nanos) {
		this.meanNanos = (this.meanNanos == 0) ? nanos : this.meanNanos + SMOOTHING_FACTOR * (nanos - this.meanNanos);
	}

	long timeoutNanos() {
		return (long) Math.clamp(MEAN_MULTIPLIER * this.meanNanos, this.minNanos, MAX_NANOS);
	}

	/**
	 * Returns the delay before a peer that answered busy is asked again.
	 */
	long busyBackoffNanos() {
		return (long) Math.clamp(this.meanNanos / 2, this.minNanos / 100.0, this.minNanos);
	}

}
