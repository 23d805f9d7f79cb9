package org.wisteriapost.policy.request;

import org.wisteriapost.policy.fleet.RunnerRest;

/**
 * State of one runner in this entry: its last report, which lags, and this entry's own
 * calls and measurements.
 */
final class RunnerState {

	final String name;

	RunnerStatus status;

	/** Index in the pool's list of free runners, -1 if absent. */
	int freeIndex = -1;

	/** Index in the pool's list of eligible runners, -1 if absent. */
	int eligibleIndex = -1;

	int inFlight;

	/** This entry's calls in flight when the last report arrived. */
	int inFlightAtReport;

	/**
	 * Calls that this entry may have in flight at the runner, adapted by
	 * {@link ConcurrencyLimit}.
	 */
	double limit;

	/** Whether the limit was raised by a slot that has not been used since. */
	boolean untriedRaise;

	long lastDecreaseNanos = Long.MIN_VALUE;

	long backoffUntilNanos = Long.MIN_VALUE;

	final RunnerRest rest = new RunnerRest();

	long slowStartNanos = Long.MIN_VALUE;

	/** Smoothed seconds per unit of cost, 0 before the first sample. */
	double secondsPerCost;

	int samples;

	/** This runner's contribution to {@link RunnerPool#slots()}. */
	int countedSlots;

	boolean disconnected;

	/** Time of the next scheduled refresh. */
	long nextRefreshNanos = Long.MAX_VALUE;

	int consecutiveErrors;

	boolean ejected;

	long ejectedUntilNanos;

	int ejections;

	RunnerState(RunnerStatus status) {
		this.name = status.runner();
		this.status = status;
		this.limit = Math.max(1, status.capacity());
	}

	/**
	 * Returns the calls that run or wait at the runner: those of other entries as last
	 * reported and this entry's own at present.
	 */
	int load() {
		int fromOtherEntries = Math.max(0, this.status.running() + this.status.queued() - this.inFlightAtReport);
		return fromOtherEntries + this.inFlight;
	}

}
