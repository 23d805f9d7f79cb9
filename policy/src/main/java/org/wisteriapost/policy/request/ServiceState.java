package org.wisteriapost.policy.request;

import java.time.Duration;

/**
 * What waits for one service and the runners that serve it.
 */
final class ServiceState {

	/**
	 * How long after the last short request slots are kept for short ones: long enough to
	 * bridge the gaps in ordinary traffic, short enough that a night of bulk work uses
	 * all slots.
	 */
	private static final long KEPT_NANOS = Duration.ofSeconds(2).toNanos();

	final FairQueue queue;

	final RunnerPool pool = new RunnerPool();

	final ArrivalRates arrivals;

	final RequestPolicySettings settings;

	private long lastShortNanos;

	private boolean shortSeen;

	ServiceState(RequestPolicySettings settings) {
		this.settings = settings;
		this.queue = new FairQueue(settings);
		this.arrivals = new ArrivalRates(settings);
	}

	boolean isLong(Request request) {
		return request.cost() >= this.settings.longCost();
	}

	void admitted(Request request, long nowNanos) {
		this.arrivals.admitted(request, nowNanos);
		if (!isLong(request)) {
			this.shortSeen = true;
			this.lastShortNanos = nowNanos;
		}
	}

	/**
	 * Returns whether a slot may go to long work now. While short requests come, long
	 * ones may not hold every slot: the short ones would wait for the end of a long one,
	 * tens of times their own length.
	 */
	boolean longAllowed(long nowNanos) {
		if (!this.shortSeen || nowNanos - this.lastShortNanos > KEPT_NANOS) {
			return true;
		}
		return this.pool.longInFlight() < Math.max(1, this.settings.longShare() * this.pool.slots());
	}

}
