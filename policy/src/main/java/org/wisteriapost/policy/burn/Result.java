package org.wisteriapost.policy.burn;

/**
 * What a request was to its caller.
 */
public enum Result {

	/** Answered whole within the objective's latency. */
	GOOD,
	/** Answered whole, later than that. */
	LATE,
	/** Turned away as not run. */
	REFUSED,
	/** Given up on; it may have run. */
	UNKNOWN,
	/** Answered with a failure or cut. */
	FAILED

}
