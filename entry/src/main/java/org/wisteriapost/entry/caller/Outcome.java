package org.wisteriapost.entry.caller;

/**
 * What an answer says of whether the request ran.
 */
public enum Outcome {

	/** The answer is the whole answer of the run. */
	RAN("ran"),
	/** Certain: not one byte reached a runner. */
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
