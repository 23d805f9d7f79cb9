package org.wisteriapost.policy.ratelimit;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What a runner has stated of its rate, and between which times.
 *
 * The runner stated it after the request was sent that it answered, and before the answer
 * was read. Answers of several entries, and those of streams that began at different
 * times, don't arrive in the order in which they were given.
 *
 * @param perSecond the requests a second that it takes from all entries together; empty
 * for no limit
 * @param earliestNanos the runner stated it at this time or later; empty if not known
 * @param latestNanos the runner stated it at this time or earlier
 */
public record RateStatement(OptionalDouble perSecond, OptionalLong earliestNanos, long latestNanos) {

	/** Of a runner that has not answered yet. */
	static final RateStatement NONE = new RateStatement(OptionalDouble.empty(), OptionalLong.empty(),
			Long.MIN_VALUE / 2);

	/**
	 * Returns a statement in an answer.
	 * @param sentNanos when the request was sent
	 * @param readNanos when the answer was read
	 */
	public static RateStatement answered(OptionalDouble perSecond, long sentNanos, long readNanos) {
		return new RateStatement(perSecond, OptionalLong.of(sentNanos), readNanos);
	}

	/**
	 * Returns this statement, given that the times may be later than true by a delay.
	 */
	RateStatement maybeEarlierBy(Duration delay) {
		OptionalLong earliest = this.earliestNanos.isPresent()
				? OptionalLong.of(this.earliestNanos.getAsLong() - delay.toNanos()) : this.earliestNanos;
		return new RateStatement(this.perSecond, earliest, this.latestNanos);
	}

	/**
	 * Returns whether the runner certainly stated this after the other statement.
	 */
	boolean certainlyAfter(RateStatement other) {
		return this.earliestNanos.isPresent() && this.earliestNanos.getAsLong() - other.latestNanos >= 0;
	}

	/**
	 * Returns whether this limits the rate more than the other statement.
	 */
	boolean stricterThan(RateStatement other) {
		return this.perSecond.orElse(Double.MAX_VALUE) < other.perSecond.orElse(Double.MAX_VALUE);
	}

	/**
	 * Returns the later of this and a statement of the same rate.
	 */
	RateStatement repeatedBy(RateStatement same) {
		boolean later = same.earliestNanos.isPresent() && (this.earliestNanos.isEmpty()
				|| same.earliestNanos.getAsLong() - this.earliestNanos.getAsLong() > 0);
		return new RateStatement(this.perSecond, later ? same.earliestNanos : this.earliestNanos,
				Math.max(this.latestNanos, same.latestNanos));
	}

}
