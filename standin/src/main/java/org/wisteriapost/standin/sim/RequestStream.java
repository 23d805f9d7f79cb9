package org.wisteriapost.standin.sim;

import java.time.Duration;

import org.wisteriapost.policy.request.Priority;

/**
 * A stream of requests with the same properties and Poisson arrivals.
 *
 * @param organisation the organisation that sends the requests
 * @param priority the priority of each request
 * @param perSecond mean rate outside bursts, in requests per second over all entries
 * @param cost the cost of each request, in units of work
 * @param deadline the time from arrival to the deadline
 * @param idempotent whether a request may run more than once
 * @param burstFactor the factor of the rate during bursts; 1 for a constant rate
 * @param entry the entry that receives all requests, or {@link #ANY_ENTRY}
 */
public record RequestStream(String organisation, Priority priority, double perSecond, int cost, Duration deadline,
		boolean idempotent, double burstFactor, int entry) {

	/** Each request goes to a uniformly random entry. */
	static final int ANY_ENTRY = -1;

	/**
	 * Returns a constant-rate stream of idempotent requests of cost 1 and normal
	 * priority, with a deadline of two seconds.
	 */
	public static RequestStream steady(String organisation, double perSecond) {
		return new RequestStream(organisation, Priority.NORMAL, perSecond, 1, Duration.ofSeconds(2), true, 1,
				ANY_ENTRY);
	}

	public RequestStream withPriority(Priority other) {
		return new RequestStream(this.organisation, other, this.perSecond, this.cost, this.deadline, this.idempotent,
				this.burstFactor, this.entry);
	}

	public RequestStream withCost(int otherCost, Duration otherDeadline) {
		return new RequestStream(this.organisation, this.priority, this.perSecond, otherCost, otherDeadline,
				this.idempotent, this.burstFactor, this.entry);
	}

	/**
	 * Returns this stream with its rate multiplied by a factor during bursts.
	 */
	public RequestStream withBursts(double factor) {
		return new RequestStream(this.organisation, this.priority, this.perSecond, this.cost, this.deadline,
				this.idempotent, factor, this.entry);
	}

	public RequestStream nonIdempotent() {
		return new RequestStream(this.organisation, this.priority, this.perSecond, this.cost, this.deadline, false,
				this.burstFactor, this.entry);
	}

	/**
	 * Returns this stream with all requests sent to one entry.
	 */
	public RequestStream viaEntry(int onlyEntry) {
		return new RequestStream(this.organisation, this.priority, this.perSecond, this.cost, this.deadline,
				this.idempotent, this.burstFactor, onlyEntry);
	}

	/**
	 * Returns the rate at a time. A burst takes the first two of every ten seconds.
	 */
	double rateAt(long nanos) {
		long second = Duration.ofNanos(nanos).toSeconds() % 10;
		return (second < 2) ? this.perSecond * this.burstFactor : this.perSecond;
	}

}
