package org.wisteriapost.policy.request;

/**
 * A request that has not received its final answer.
 */
final class PendingRequest {

	final Request request;

	Stage stage = Stage.QUEUED;

	RunnerState runner;

	/** Runner of the previous dispatch, avoided by a retry. */
	String lastRunner = "";

	long dispatchedNanos;

	int dispatches;

	boolean claimed;

	boolean answerStarted;

	/**
	 * Number of dispatches that may have run. Above zero, <em>not run</em> cannot be
	 * guaranteed, so that every incomplete answer is reported as <em>unknown</em>.
	 */
	int possibleRuns;

	PendingRequest(Request request) {
		this.request = request;
	}

	long id() {
		return this.request.id();
	}

	boolean mayHaveRun() {
		return this.possibleRuns > 0;
	}

	/**
	 * Processing stage of a request.
	 */
	enum Stage {

		/** Waits for a runner. */
		QUEUED,
		/** Waits for its retry backoff to elapse. */
		DELAYED,
		/** A runner is reserved while the idempotency key is claimed. */
		CLAIMING,
		/** Sent to a runner. */
		DISPATCHED

	}

}
