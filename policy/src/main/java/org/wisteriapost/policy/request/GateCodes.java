package org.wisteriapost.policy.request;

import java.util.Set;

import org.wisteriapost.kernel.Code;

/**
 * Codes with which a runner's gate refuses a call, shared by the gate that raises them
 * and the entries that act on them.
 */
public final class GateCodes {

	/** The runner is starting, switching weights or not responding. */
	public static final Code NOT_ADMITTING = Code.refusal("gate-not-admitting",
			"The runner takes no calls now: it starts, switches weights or does not answer.");

	/** The VM is leaving. */
	public static final Code LEAVING = Code.refusal("gate-leaving", "The runner's VM is leaving.");

	/** The call requires weights that the runner does not serve. */
	public static final Code OTHER_WEIGHTS = Code.refusal("gate-other-weights",
			"The runner does not serve the weights that the call asks for.");

	/** The runner and its queue are full. */
	public static final Code FULL = Code.refusal("gate-full", "The runner and its short queue are full.");

	/** The runner behind the gate turned the call away. */
	public static final Code RUNNER_REFUSED = Code.refusal("runner-refused",
			"The runner itself said that it did not run the call.");

	/** The call's deadline has passed or would pass in the queue. */
	public static final Code TOO_LATE = Code.refusal("gate-deadline",
			"The call's deadline has passed or would pass in the queue.");

	private static final Set<String> HEALTH_NEUTRAL = Set.of(NOT_ADMITTING.name(), LEAVING.name(), OTHER_WEIGHTS.name(),
			TOO_LATE.name());

	private GateCodes() {
	}

	/**
	 * Returns whether the runner behind the gate turned the call away. The time that
	 * comes with it is the runner's own statement; that of other codes is the gate's
	 * estimate.
	 */
	static boolean isRefusedByRunner(String code) {
		return code.equals(RUNNER_REFUSED.name());
	}

	/**
	 * Returns whether the runner refused the call because it is full.
	 */
	static boolean isFull(String code) {
		return code.equals(FULL.name());
	}

	/**
	 * Returns whether a refusal is routine and does not count as a failure of the runner.
	 * Otherwise three callers with short deadlines would eject a runner.
	 */
	static boolean isHealthNeutral(String code) {
		return HEALTH_NEUTRAL.contains(code);
	}

}
