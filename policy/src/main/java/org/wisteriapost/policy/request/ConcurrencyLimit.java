package org.wisteriapost.policy.request;

import java.time.Duration;

/**
 * Adapts the number of calls that this entry may have in flight at one runner.
 *
 * Load: several entries, which do not coordinate, send to the same saturated runner. Harm
 * prevented: the entry with the most work of one organisation refills every slot it
 * frees, so that callers of the other entries find the runner full indefinitely.
 *
 * Additive increase, multiplicative decrease: all entries see the same signals of a full
 * runner and reduce their limits by the same factor, so that the largest limit shrinks
 * most and the limits converge. The increase is weighted by the organisations with
 * waiting work, so that slots are shared between organisations rather than between
 * entries.
 */
final class ConcurrencyLimit {

	/**
	 * Limit increase per completed call while the limit is reached, per unit of waiting
	 * weight, divided by the limit. A lower value leaves an entry short of slots for
	 * seconds and raises the p99 of the organisations that use it; a higher value costs
	 * more calls that full gates refuse at saturation.
	 */
	private static final double INCREASE = 0.05;

	/**
	 * Additional growth factor while raised limits are not refused. It claims idle slots
	 * quickly when another entry's burst has ended, before the next report shows them.
	 */
	private static final double RECOVERY_BOOST = 30;

	private static final double RAISE_SMOOTHING = 0.3;

	/**
	 * Factor at a full runner. One slot in ten is enough to let another entry in; a
	 * smaller step would round to zero at typical limits of 8 to 16 slots.
	 */
	private static final double DECREASE = 0.9;

	/** Factor when answers are far slower than those of the other runners. */
	private static final double SLOW_DECREASE = 0.8;

	/**
	 * At most one decrease between two reports, because repeated signals in that time
	 * have the same cause.
	 */
	private static final long MIN_DECREASE_INTERVAL_NANOS = Duration.ofMillis(900).toNanos();

	/** An answer this many times slower than the median indicates overload. */
	private static final double SLOW_RATIO = 2;

	private ConcurrencyLimit() {
	}

	/**
	 * Raises the limit after a successful call while the limit is reached.
	 * @param waitingWeight sum of the weights of the organisations with work waiting at
	 * this entry
	 */
	static void onCompletion(RunnerState runner, RunnerPool pool, int waitingWeight) {
		if (runner.inFlight + 1 < (int) runner.limit) {
			return;
		}
		if (runner.untriedRaise) {
			pool.heldRaiseShare += RAISE_SMOOTHING * (1 - pool.heldRaiseShare);
			runner.untriedRaise = false;
		}
		double boost = 1 + RECOVERY_BOOST * pool.heldRaiseShare;
		double step = INCREASE * Math.max(1, waitingWeight) * boost / runner.limit;
		double limit = Math.min(runner.status.capacity(), runner.limit + Math.min(1, step));
		runner.untriedRaise = (int) limit > (int) runner.limit;
		runner.limit = limit;
	}

	/**
	 * Lowers the limit to the calls in flight after the runner's gate refused one more.
	 */
	static void onGateFull(RunnerState runner, RunnerPool pool) {
		pool.heldRaiseShare *= 1 - RAISE_SMOOTHING;
		runner.untriedRaise = false;
		runner.limit = Math.max(1, Math.min(runner.limit, runner.inFlight));
	}

	/**
	 * Lowers the limit at a full runner that other entries use as well. At one with free
	 * capacity, raises it to the calls in flight plus half of that capacity, because the
	 * other entries see the same free slots.
	 */
	static void onReport(RunnerState runner, long nowNanos) {
		RunnerStatus status = runner.status;
		int freeCapacity = status.capacity() - status.running() - status.queued();
		if (freeCapacity > 0) {
			double target = runner.inFlight + (freeCapacity + 1) / 2;
			runner.limit = Math.min(status.capacity(), Math.max(runner.limit, target));
			return;
		}
		boolean shared = status.running() + status.queued() > runner.inFlightAtReport;
		if (shared) {
			decrease(runner, DECREASE, nowNanos);
		}
	}

	/**
	 * Lowers the limit when an answer is far slower than the median of the service.
	 */
	static void onLatency(RunnerState runner, double secondsPerCost, double median, long nowNanos) {
		if (median > 0 && secondsPerCost > SLOW_RATIO * median) {
			decrease(runner, SLOW_DECREASE, nowNanos);
		}
	}

	private static void decrease(RunnerState runner, double factor, long nowNanos) {
		if (runner.lastDecreaseNanos != Long.MIN_VALUE
				&& nowNanos - runner.lastDecreaseNanos < MIN_DECREASE_INTERVAL_NANOS) {
			return;
		}
		runner.lastDecreaseNanos = nowNanos;
		runner.limit = Math.max(1, runner.limit * factor);
	}

}
