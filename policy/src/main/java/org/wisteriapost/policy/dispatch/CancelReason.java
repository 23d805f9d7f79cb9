package org.wisteriapost.policy.dispatch;

/**
 * Why an entry gives up a dispatch that is in progress. The constant names are values of
 * a metric label.
 */
public enum CancelReason {

	/** The caller has disconnected. */
	CALLER_DISCONNECTED,
	/** The deadline of the request has passed. */
	DEADLINE_PASSED,
	/** The request has become known as one that crashes runners. */
	QUARANTINED,
	/** The runner has not started the request before a newer weights version. */
	NOT_STARTED_IN_TIME,
	/** Another dispatch of the request has continued its answer. */
	SUPERSEDED,
	/** This process is about to end. */
	STOPPING

}
