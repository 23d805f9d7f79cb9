package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * When a request without an answer is looked for elsewhere.
 *
 * A link that stalls without closing gives no sign of its own: the sign is that fewer
 * bytes than one piece come in an interval. The interval follows the answers that do
 * come, so that slow links of a busy fleet are not taken for dead ones, and is bounded on
 * both sides.
 */
final class Deadline {

	private static final double WEIGHT = 0.1;

	private static final double FACTOR = 4;

	private static final long MOST_NANOS = Duration.ofSeconds(30).toNanos();

	private final long leastNanos;

	private double mean;

	Deadline(Duration least) {
		this.leastNanos = least.toNanos();
	}

	/**
	 * Takes in how long an answer took.
	 */
	void answered(long nanos) {
		this.mean = (this.mean == 0) ? nanos : this.mean + WEIGHT * (nanos - this.mean);
	}

	/**
	 * Returns the time after which a request counts as stalled.
	 */
	long nanos() {
		return (long) Math.clamp(FACTOR * this.mean, this.leastNanos, MOST_NANOS);
	}

	/**
	 * Returns how long to leave a busy peer alone.
	 */
	long busyNanos() {
		return (long) Math.clamp(this.mean / 2, this.leastNanos / 100.0, this.leastNanos);
	}

}
