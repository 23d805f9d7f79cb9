package org.wisteriapost.policy.dispatch;

/**
 * Outcome of one dispatch of a request. The constant names are values of a metric label.
 */
public enum DispatchOutcome {

	/** The complete response was sent to the caller. */
	DONE,
	/** The runner returned a complete error response, which can be forwarded. */
	ERROR,
	/** No byte of the request reached the runner. */
	NOT_SENT,
	/** The runner is at capacity and guarantees that it has not executed the request. */
	FULL,
	/** The address belongs to another runner. The request was not executed. */
	MISDIRECTED,
	/**
	 * The connection to the runner ended before the response was complete. The request
	 * may have been executed, and the runner may have crashed.
	 */
	DISCONNECTED,
	/**
	 * The response is missing, or incomplete for another reason. The request may have
	 * been executed.
	 */
	BROKEN;

	/**
	 * Returns whether the runner has not executed the request and never will.
	 */
	boolean certainlyNotRun() {
		return this == NOT_SENT || this == FULL || this == MISDIRECTED;
	}

}
