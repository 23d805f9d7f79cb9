package org.wisteriapost.policy.fleet;

import java.util.OptionalLong;

/**
 * Tells the starts of one runner apart.
 *
 * Load: a runner crashes and comes back under the id that it had, while what was said of
 * its former start is still on its way. Harm prevented: requests go to an engine that has
 * lost its weights, counts of answers that ended with the crash fill its slots for ever,
 * and an order that died with it is waited for.
 *
 * @param startedMillis Unix time at which the runner started; empty when it does not say
 */
public record RunnerStart(OptionalLong startedMillis) {

	/** A start of which nothing is known; neither before nor after another. */
	public static final RunnerStart UNKNOWN = new RunnerStart(OptionalLong.empty());

	/**
	 * Returns the start at a time.
	 */
	public static RunnerStart at(long startedMillis) {
		return new RunnerStart(OptionalLong.of(startedMillis));
	}

	/**
	 * Returns whether this start was before another one; false unless both are known.
	 */
	public boolean before(RunnerStart other) {
		return this.startedMillis.isPresent() && other.startedMillis.isPresent()
				&& this.startedMillis.getAsLong() < other.startedMillis.getAsLong();
	}

}
