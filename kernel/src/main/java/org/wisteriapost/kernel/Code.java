package org.wisteriapost.kernel;

import java.util.Objects;

/**
 * Names one decision, refusal, failure or finding in a stable way.
 *
 * Every code is declared as a constant at the head of the one class that raises it and
 * has a page {@code docs/codes/NAME.md}; a test compares the two sets.
 *
 * @param name kebab-case, stable across versions, safe to match on
 * @param severity how an operator should take it
 * @param summary one sentence for logs and error bodies
 */
public record Code(String name, Severity severity, String summary) {

	public Code {
		Objects.requireNonNull(severity, "severity");
		Objects.requireNonNull(summary, "summary");
		if (!name.matches("[a-z][a-z0-9]*(-[a-z0-9]+)*")) {
			throw new IllegalArgumentException("not kebab-case: " + name);
		}
	}

	/**
	 * Returns a code for something that is wrong and needs a person.
	 */
	public static Code error(String name, String summary) {
		return new Code(name, Severity.ERROR, summary);
	}

	/**
	 * Returns a code for something the system has dealt with by itself.
	 */
	public static Code warning(String name, String summary) {
		return new Code(name, Severity.WARNING, summary);
	}

	/**
	 * Returns a code for a request that is turned away under load or by policy.
	 */
	public static Code refusal(String name, String summary) {
		return new Code(name, Severity.REFUSAL, summary);
	}

	/**
	 * Returns a code for an outside system that does not answer.
	 */
	public static Code unavailable(String name, String summary) {
		return new Code(name, Severity.UNAVAILABLE, summary);
	}

	/**
	 * How an operator should take a code.
	 */
	public enum Severity {

		/** Needs a person. */
		ERROR,
		/** Dealt with; worth counting. */
		WARNING,
		/** A caller was told to come back. */
		REFUSAL,
		/** An outside system does not answer; the same may work later. */
		UNAVAILABLE

	}

}
