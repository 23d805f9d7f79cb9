package org.wisteriapost.policy.request;

import java.time.Duration;

/**
 * Moves the number of calls that this entry may have in flight at one runner.
 *
 * Load: several entries, which do not talk to each other, send to the same runner at
 * saturation. Harm prevented: the entry that is busiest with one organisation's work
 * refills every slot it frees, and the callers of the other entries find the runner full
 * for ever.
 *
 * Additive increase, multiplicative decrease: all entries see the same sign of a full
 * runner and all give way by a share of what they hold, so the one that holds most gives
 * most, and their holdings meet. The increase is weighted by the organisations that have
 * work waiting here, so that the slots are shared by organisations and not by entries.
 */
final class ConcurrencyLimit {

	/**
	 * Added by a call that ended while the limit bound, for each unit of waiting weight
	 * and each slot held: with ten organisations waiting a slot more after two ends. A
	 * fifth of that left an entry short of slots for seconds, and the p99 of the
	 * organisations that use it was over a second; more is paid for in calls that full
	 * gates send back, about one for two answers at saturation.
	 */
	private static final double INCREASE = 0.05;

	/**
	 * By how much faster the limits rise while raised ones hold. When another entry's
	 * burst is over its slots stand idle, and nobody says so before the next report.
	 */
	private static final double HASTE = 30;

	private static final double RAISE_SMOOTHING = 0.3;

	/**
	 * Given up at a full runner. One slot in ten for a moment is what lets a newcomer in;
	 * less than that rounds to nothing at the usual 8 to 16 slots.
	 */
	private static final double DECREASE = 0.9;

	/** Given up when answers come far slower than the peers'. */
	private static final double SLOW_DECREASE = 0.8;

	/** At most one decrease in the time between two reports: they repeat one cause. */
	private static final long DECREASE_NANOS = Duration.ofMillis(900).toNanos();

	/** An answer this many times slower than the median is a sign of overload. */
	private static final double SLOW = 2;

	private ConcurrencyLimit() {
	}

	/**
	 * Raises the limit after a call ended well while the limit bound.
	 * @param waitingWeight weights of the organisations with work waiting here
	 */
	static void ended(RunnerState runner, RunnerPool pool, int waitingWeight) {
		if (runner.inFlight + 1 < (int) runner.limit) {
			return;
		}
		if (runner.raised) {
			pool.raiseHeld += RAISE_SMOOTHING * (1 - pool.raiseHeld);
			runner.raised = false;
		}
		double haste = 1 + HASTE * pool.raiseHeld;
		double step = INCREASE * Math.max(1, waitingWeight) * haste / runner.limit;
		double limit = Math.min(runner.view.capacity(), runner.limit + Math.min(1, step));
		runner.raised = (int) limit > (int) runner.limit;
		runner.limit = limit;
	}

	/**
	 * Sets the limit to what the runner has taken, after its gate refused one more.
	 */
	static void refused(RunnerState runner, RunnerPool pool) {
		pool.raiseHeld *= 1 - RAISE_SMOOTHING;
		runner.raised = false;
		runner.limit = Math.max(1, Math.min(runner.limit, runner.inFlight));
	}

	/**
	 * Gives way at a full runner and takes up half of the room at one that is not: the
	 * others see the same room.
	 */
	static void reported(RunnerState runner, long nowNanos) {
		RunnerView view = runner.view;
		int room = view.capacity() - view.running() - view.queued();
		if (room > 0) {
			double upTo = runner.inFlight + (room + 1) / 2;
			runner.limit = Math.min(view.capacity(), Math.max(runner.limit, upTo));
			return;
		}
		boolean shared = view.running() + view.queued() > runner.inFlightAtReport;
		if (shared) {
			lower(runner, DECREASE, nowNanos);
		}
	}

	/**
	 * Gives way when an answer came far slower than the median of the service.
	 */
	static void answered(RunnerState runner, double secondsPerCost, double median, long nowNanos) {
		if (median > 0 && secondsPerCost > SLOW * median) {
			lower(runner, SLOW_DECREASE, nowNanos);
		}
	}

	private static void lower(RunnerState runner, double factor, long nowNanos) {
		if (runner.loweredNanos != Long.MIN_VALUE && nowNanos - runner.loweredNanos < DECREASE_NANOS) {
			return;
		}
		runner.loweredNanos = nowNanos;
		runner.limit = Math.max(1, runner.limit * factor);
	}

}
