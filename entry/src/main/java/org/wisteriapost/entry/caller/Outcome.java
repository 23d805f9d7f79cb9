package org.wisteriapost.entry.caller;

/**
 * Whether the request ran, as stated in the header of an answer.
 */
public enum Outcome {

	/** It ran, and the answer is its complete result. */
	RAN("ran"),
	/** It certainly did not run: no byte of it reached a runner. */
	NOT_RUN("not-run"),
	/** It may have run. */
	UNKNOWN("unknown");

	private final String text;

	Outcome(String text) {
		this.text = text;
	}

	/**
	 * Returns the header's value.
	 */
	public String text() {
		return this.text;
	}

}
