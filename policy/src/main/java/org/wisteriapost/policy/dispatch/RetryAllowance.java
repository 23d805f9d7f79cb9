package org.wisteriapost.policy.dispatch;

import java.time.Duration;

/**
 * This entry's share of the retries that all entries may send to one service.
 *
 * Load: runners fail while there is hardly room to spare. Harm prevented: every failure
 * turns into two or three calls, which make the rest fail.
 *
 * All entries share one budget without a call for each retry: an entry fills its bucket
 * by a part of its own requests and by its part of the fixed allowance. Both parts leave
 * {@value #RESERVE} of the budget unused, which covers entries that count different
 * numbers of each other. A lost entry's share is not used by the others within a window.
 */
final class RetryAllowance {

	private static final double RESERVE = 0.3;

	private final double share;

	private final double extra;

	private final double windowNanos;

	private double tokens;

	private long filledNanos;

	private boolean started;

	RetryAllowance(double share, int extra, Duration window) {
		this.share = share * (1 - RESERVE);
		this.extra = extra * (1 - RESERVE) / 2;
		this.windowNanos = window.toNanos();
	}

	/**
	 * Notes the first dispatch of a request.
	 */
	void first() {
		this.tokens += this.share;
	}

	/**
	 * Returns whether one more may be sent, and counts it.
	 * @param entries how many entries share the budget
	 */
	boolean take(int entries, long nowNanos) {
		double most = Math.max(1, this.extra / entries);
		if (!this.started) {
			this.started = true;
			this.tokens += most;
			this.filledNanos = nowNanos;
		}
		double gained = (nowNanos - this.filledNanos) / this.windowNanos * this.extra / entries;
		this.filledNanos = nowNanos;
		this.tokens = Math.min(most, this.tokens + gained);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
