package org.wisteriapost.policy.request;

import java.time.Duration;

/**
 * Waiting requests and runners of one service.
 */
final class ServiceState {

	/**
	 * How long slots stay reserved after the last short request: long enough to bridge
	 * the gaps in ordinary traffic, short enough that bulk work at night can use all
	 * slots.
	 */
	private static final long SHORT_RESERVATION_NANOS = Duration.ofSeconds(2).toNanos();

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

	void recordAdmitted(Request request, long nowNanos) {
		this.arrivals.recordAdmitted(request, nowNanos);
		if (!isLong(request)) {
			this.shortSeen = true;
			this.lastShortNanos = nowNanos;
		}
	}

	/**
	 * Returns whether a slot may be given to a long request. While short requests arrive,
	 * long ones must not hold every slot: the short ones would have to wait for the end
	 * of a long one, which takes tens of times as long as they do.
	 */
	boolean longRequestAllowed(long nowNanos) {
		if (!this.shortSeen || nowNanos - this.lastShortNanos > SHORT_RESERVATION_NANOS) {
			return true;
		}
		return this.pool.longInFlight() < Math.max(1, this.settings.longShare() * this.pool.slots());
	}

}
