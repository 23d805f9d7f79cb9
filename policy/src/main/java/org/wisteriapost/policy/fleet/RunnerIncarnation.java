package org.wisteriapost.policy.fleet;

import java.util.OptionalLong;

/**
 * Identifies one incarnation of a runner.
 *
 * A runner that crashes comes back under the same id while messages about its former
 * incarnation are still in flight. Were these applied to the new one, requests would go
 * to an engine that has lost its weights, the in-flight counts of requests that ended
 * with the crash would occupy its slots for good, and an order that was lost with the
 * process would be waited for.
 *
 * @param startedMillis Unix time at which the runner started; empty when it does not
 * report it
 */
public record RunnerIncarnation(OptionalLong startedMillis) {

	/** An unknown incarnation; neither before nor after any other. */
	public static final RunnerIncarnation UNKNOWN = new RunnerIncarnation(OptionalLong.empty());

	public static RunnerIncarnation startedAt(long startedMillis) {
		return new RunnerIncarnation(OptionalLong.of(startedMillis));
	}

	/**
	 * Returns whether this incarnation precedes another; false unless both are known.
	 */
	public boolean precedes(RunnerIncarnation other) {
		return this.startedMillis.isPresent() && other.startedMillis.isPresent()
				&& this.startedMillis.getAsLong() < other.startedMillis.getAsLong();
	}

}
