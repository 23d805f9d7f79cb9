package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * Judges by how long parts of pieces take whether weights hold up a link, as LEDBAT does
 * (RFC 6817): against the quickest part so far, which met an empty link.
 *
 * Two slow parts in a row tell that the link is full. One quick part shows that it is
 * not, whatever became of those that other VMs were to take or to send.
 */
final class LinkDelay {

	private static final int SLOW_IN_A_ROW = 2;

	// Six parts by turns on a link that is full of weights alone take 0.08 s each.
	private static final long QUICK_NANOS = Duration.ofMillis(150).toNanos();

	// What weights may hold up an engine's request or answer for.
	private static final long SLOW_NANOS = Duration.ofMillis(250).toNanos();

	// Parts that were sent together are late together and count once.
	private static final long ONCE_NANOS = Duration.ofMillis(200).toNanos();

	private int slow;

	private long leastNanos = Long.MAX_VALUE;

	private long fullNanos = Long.MIN_VALUE / 2;

	/**
	 * Judges by a part that took a time.
	 */
	Verdict took(long tookNanos, long nowNanos) {
		this.leastNanos = Math.min(this.leastNanos, tookNanos);
		long delay = tookNanos - this.leastNanos;
		if (delay < QUICK_NANOS) {
			this.slow = 0;
			return Verdict.FREE;
		}
		return (delay > SLOW_NANOS) ? late(nowNanos) : Verdict.AS_BEFORE;
	}

	/**
	 * Judges by a part that has not come in time.
	 */
	Verdict late(long nowNanos) {
		this.slow++;
		if (this.slow < SLOW_IN_A_ROW || nowNanos - this.fullNanos < ONCE_NANOS) {
			return Verdict.AS_BEFORE;
		}
		this.slow = 0;
		this.fullNanos = nowNanos;
		return Verdict.FULL;
	}

	/**
	 * Returns whether a part that is without an answer for so long is late.
	 */
	boolean overdue(long nanos) {
		return this.leastNanos < Long.MAX_VALUE && nanos - this.leastNanos > SLOW_NANOS;
	}

	/** What a part tells of the link. */
	enum Verdict {

		/** It carries more. */
		FREE,
		/** Nothing new. */
		AS_BEFORE,
		/** What is on it already holds up others. */
		FULL

	}

}
