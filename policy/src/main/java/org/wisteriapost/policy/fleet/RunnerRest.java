package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * The time in which one incarnation of a runner wants no requests from this entry.
 *
 * A runner that is overloaded turns requests away and names such a time. Requests that
 * came all the same would cost it the work of turning them away, and their callers an
 * attempt. The time is kept whatever else is learned of the incarnation.
 */
public final class RunnerRest {

	// A longer one is taken for an error; one request is sent then.
	private static final long MAX_NANOS = Duration.ofMinutes(5).toNanos();

	private OptionalLong untilNanos = OptionalLong.empty();

	/**
	 * Records the time that the runner has named.
	 */
	public void stated(Duration rest, long nowNanos) {
		long until = nowNanos + Math.min(MAX_NANOS, rest.toNanos());
		if (this.untilNanos.isEmpty() || until - this.untilNanos.getAsLong() > 0) {
			this.untilNanos = OptionalLong.of(until);
		}
	}

	/**
	 * Returns whether the runner wants no requests now.
	 */
	public boolean active(long nowNanos) {
		return endNanos(nowNanos).isPresent();
	}

	/**
	 * Returns when the runner takes requests again; empty if it does.
	 */
	public OptionalLong endNanos(long nowNanos) {
		boolean over = this.untilNanos.isPresent() && nowNanos - this.untilNanos.getAsLong() >= 0;
		return over ? OptionalLong.empty() : this.untilNanos;
	}

}
