package org.wisteriapost.policy.request;

/**
 * One request from its arrival to its only final answer.
 */
final class Flight {

	final Request request;

	Stage stage = Stage.QUEUED;

	RunnerState runner;

	/** Where it was last, so that a retry goes elsewhere first. */
	String lastRunner = "";

	long dispatchedNanos;

	int dispatches;

	boolean claimed;

	boolean started;

	/**
	 * Dispatches that have not certainly failed to run. Above zero <em>not run</em> would
	 * be a guess, so that every answer but a whole one is <em>unknown</em>.
	 */
	int uncertain;

	Flight(Request request) {
		this.request = request;
	}

	long id() {
		return this.request.id();
	}

	boolean mayHaveRun() {
		return this.uncertain > 0;
	}

	/**
	 * Where a request stands.
	 */
	enum Stage {

		/** Waits for a runner. */
		QUEUED,
		/** Waits for the jittered time of its retry. */
		DELAYED,
		/** A runner is reserved while the idempotency key is claimed. */
		CLAIMING,
		/** Sent to a runner. */
		DISPATCHED

	}

}
