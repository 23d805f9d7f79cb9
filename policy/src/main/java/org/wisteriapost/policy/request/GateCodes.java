package org.wisteriapost.policy.request;

import java.util.Set;

import org.wisteriapost.kernel.Code;

/**
 * What a runner's gate says when it refuses a call. The gate raises them and entries
 * decide by them, so they stand once, here.
 */
public final class GateCodes {

	/** The runner starts, switches weights or does not answer. */
	public static final Code NOT_ADMITTING = Code.refusal("gate-not-admitting",
			"The runner takes no calls now: it starts, switches weights or does not answer.");

	/** The VM leaves. */
	public static final Code LEAVING = Code.refusal("gate-leaving", "The runner's VM is leaving.");

	/** The call asks for other weights. */
	public static final Code OTHER_WEIGHTS = Code.refusal("gate-other-weights",
			"The runner does not serve the weights that the call asks for.");

	/** There is no room. */
	public static final Code FULL = Code.refusal("gate-full", "The runner and its short queue are full.");

	/** The caller's time is too short. */
	public static final Code TOO_LATE = Code.refusal("gate-deadline",
			"The call's deadline has passed or would pass in the queue.");

	private static final Set<String> WELL = Set.of(NOT_ADMITTING.name(), LEAVING.name(), OTHER_WEIGHTS.name(),
			TOO_LATE.name());

	private GateCodes() {
	}

	/**
	 * Returns whether the code says that the runner is full.
	 */
	static boolean full(String code) {
		return code.equals(FULL.name());
	}

	/**
	 * Returns whether the code is a gate's word that is no sign of a runner in trouble.
	 * Counted as an error, three callers with short deadlines would eject a runner.
	 */
	static boolean well(String code) {
		return WELL.contains(code);
	}

}
