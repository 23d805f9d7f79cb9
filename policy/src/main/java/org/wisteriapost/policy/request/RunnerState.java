package org.wisteriapost.policy.request;

/**
 * One runner as this entry sees it: the lagged report and, on top, what this entry itself
 * has sent and measured.
 */
final class RunnerState {

	final String name;

	RunnerView view;

	/** Position in the pool's list of free runners, -1 when it is not there. */
	int freeIndex = -1;

	/** Position in the pool's list of eligible runners, -1 when it is not there. */
	int eligibleIndex = -1;

	int inFlight;

	/** Calls in flight from this entry when the last report came. */
	int inFlightAtReport;

	/** Calls that this entry may have in flight here; moved by ConcurrencyLimit. */
	double limit;

	/** The limit rose by a slot that has not been tried yet. */
	boolean raised;

	long loweredNanos = Long.MIN_VALUE;

	long backoffUntilNanos = Long.MIN_VALUE;

	long slowStartNanos = Long.MIN_VALUE;

	/** Seconds for each unit of cost, smoothed; 0 before the first sample. */
	double secondsPerCost;

	int samples;

	/** Slots that the pool counts for this runner. */
	int slots;

	boolean gone;

	/** When to look at this runner again, whatever else happens. */
	long wakeNanos = Long.MAX_VALUE;

	int errorsInRow;

	boolean ejected;

	long ejectedUntilNanos;

	int ejections;

	RunnerState(RunnerView view) {
		this.name = view.runner();
		this.view = view;
		this.limit = Math.max(1, view.capacity());
	}

	/**
	 * Returns the calls in progress or waiting there: other entries' as last reported and
	 * this entry's own as of now.
	 */
	int load() {
		int others = Math.max(0, this.view.running() + this.view.queued() - this.inFlightAtReport);
		return others + this.inFlight;
	}

}
