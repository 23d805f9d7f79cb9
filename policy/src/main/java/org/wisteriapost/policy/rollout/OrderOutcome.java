package org.wisteriapost.policy.rollout;

/**
 * What is known of an order to an engine once the call has ended.
 */
public enum OrderOutcome {

	/** The engine has accepted it, or already holds what it asks for. */
	ACCEPTED,

	/** The engine has not accepted it and never will. */
	REFUSED,

	/** The engine may have accepted it, or may still do so. */
	UNKNOWN

}
