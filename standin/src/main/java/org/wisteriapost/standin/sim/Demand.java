package org.wisteriapost.standin.sim;

import java.time.Duration;

import org.wisteriapost.policy.request.Priority;

/**
 * One stream of alike requests.
 *
 * @param organisation who sends them
 * @param priority their urgency
 * @param perSecond requests a second over all entries
 * @param cost units of work for each
 * @param deadline how long the callers wait
 * @param idempotent whether they may run twice
 * @param burstFactor by how much the rate is higher in a burst; 1 for an even rate
 * @param entry the only entry that its callers use, or {@link #ANY_ENTRY}
 */
public record Demand(String organisation, Priority priority, double perSecond, int cost, Duration deadline,
		boolean idempotent, double burstFactor, int entry) {

	/** The callers use all entries alike. */
	static final int ANY_ENTRY = -1;

	/**
	 * Returns an even stream of short idempotent requests of normal urgency.
	 */
	public static Demand even(String organisation, double perSecond) {
		return new Demand(organisation, Priority.NORMAL, perSecond, 1, Duration.ofSeconds(2), true, 1, ANY_ENTRY);
	}

	/**
	 * Returns this stream with another urgency.
	 */
	public Demand with(Priority other) {
		return new Demand(this.organisation, other, this.perSecond, this.cost, this.deadline, this.idempotent,
				this.burstFactor, this.entry);
	}

	/**
	 * Returns this stream with another length and patience.
	 */
	public Demand with(int otherCost, Duration otherDeadline) {
		return new Demand(this.organisation, this.priority, this.perSecond, otherCost, otherDeadline, this.idempotent,
				this.burstFactor, this.entry);
	}

	/**
	 * Returns this stream with bursts.
	 */
	public Demand bursting(double factor) {
		return new Demand(this.organisation, this.priority, this.perSecond, this.cost, this.deadline, this.idempotent,
				factor, this.entry);
	}

	/**
	 * Returns this stream as calls that may not run twice.
	 */
	public Demand once() {
		return new Demand(this.organisation, this.priority, this.perSecond, this.cost, this.deadline, false,
				this.burstFactor, this.entry);
	}

	/**
	 * Returns this stream through one entry only.
	 */
	public Demand through(int only) {
		return new Demand(this.organisation, this.priority, this.perSecond, this.cost, this.deadline, this.idempotent,
				this.burstFactor, only);
	}

	/**
	 * Returns the rate at a time: bursts last the first two of every ten seconds.
	 */
	double rateAt(long nanos) {
		long second = Duration.ofNanos(nanos).toSeconds() % 10;
		return (second < 2) ? this.perSecond * this.burstFactor : this.perSecond;
	}

}
