package org.wisteriapost.policy.burn;

/**
 * Result of a request from the caller's point of view.
 */
public enum RequestResult {

	/** Answered completely within the latency of the objective. */
	GOOD,
	/** Answered completely, but later than the objective allows. */
	LATE,
	/** Rejected without being run. */
	REFUSED,
	/** Abandoned without a known result; it may have been run. */
	UNKNOWN,
	/** Answered with an error or an incomplete response. */
	FAILED

}
