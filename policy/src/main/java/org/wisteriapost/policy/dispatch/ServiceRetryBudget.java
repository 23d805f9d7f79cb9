package org.wisteriapost.policy.dispatch;

import java.time.Duration;

/**
 * This entry's share of the retry budget of one service.
 *
 * When runners fail and there is little spare capacity, retries multiply the load and
 * make the remaining requests fail as well. All entries share one budget without
 * coordination: each entry's token bucket is filled by a fraction of its own requests and
 * by its part of the fixed allowance. Both leave {@value #RESERVED_SHARE} of the budget
 * unused, since entries may disagree on the number of entries. The share of an entry that
 * fails is not redistributed within a window.
 */
final class ServiceRetryBudget {

	private static final double RESERVED_SHARE = 0.3;

	private final double ratio;

	private final double fixedPerWindow;

	private final double windowNanos;

	private double tokens;

	private long refilledNanos;

	private boolean started;

	ServiceRetryBudget(double ratio, int perWindow, Duration window) {
		this.ratio = ratio * (1 - RESERVED_SHARE);
		this.fixedPerWindow = perWindow * (1 - RESERVED_SHARE) / 2;
		this.windowNanos = window.toNanos();
	}

	/**
	 * Records the first dispatch of a request.
	 */
	void recordFirstDispatch() {
		this.tokens += this.ratio;
	}

	/**
	 * Takes one retry from the budget and returns whether one was available.
	 * @param entries the number of entries that share the budget
	 */
	boolean tryAcquire(int entries, long nowNanos) {
		double capacity = Math.max(1, this.fixedPerWindow / entries);
		if (!this.started) {
			this.started = true;
			this.tokens += capacity;
			this.refilledNanos = nowNanos;
		}
		double refill = (nowNanos - this.refilledNanos) / this.windowNanos * this.fixedPerWindow / entries;
		this.refilledNanos = nowNanos;
		this.tokens = Math.min(capacity, this.tokens + refill);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
