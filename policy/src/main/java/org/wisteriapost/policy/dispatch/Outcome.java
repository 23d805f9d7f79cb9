package org.wisteriapost.policy.dispatch;

/**
 * How one dispatch of a request ended.
 */
public enum Outcome {

	/** The runner's whole answer came and went out to the caller. */
	DONE,
	/** The runner's whole answer is a failure of its own; it waits to be passed on. */
	ERROR,
	/** Not one byte of the request reached the runner. */
	NOT_SENT,
	/** The runner has no room and promises that the request has not run. */
	FULL,
	/** Another runner has the address; the request has not run. */
	MISDIRECTED,
	/** No whole answer came; the request may have run. */
	BROKEN;

	/**
	 * Returns whether the request has not run at the runner and never will.
	 */
	boolean notRun() {
		return this == NOT_SENT || this == FULL || this == MISDIRECTED;
	}

}
