package org.wisteriapost.kernel;

import java.util.Objects;

/**
 * Stable identifier of a decision, rejection, failure or finding.
 *
 * Each code is declared as a constant in the class that raises it and is documented in
 * {@code docs/codes/NAME.md}; a test compares the two sets.
 *
 * @param name kebab-case, stable across versions, so that tools can match it
 * @param severity the response that is expected of an operator
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
	 * Returns a code for a fault that an operator has to resolve.
	 */
	public static Code error(String name, String summary) {
		return new Code(name, Severity.ERROR, summary);
	}

	/**
	 * Returns a code for a fault that the system has handled by itself.
	 */
	public static Code warning(String name, String summary) {
		return new Code(name, Severity.WARNING, summary);
	}

	/**
	 * Returns a code for a request that is rejected under load or by policy.
	 */
	public static Code refusal(String name, String summary) {
		return new Code(name, Severity.REFUSAL, summary);
	}

	/**
	 * Returns a code for an external system that does not respond.
	 */
	public static Code unavailable(String name, String summary) {
		return new Code(name, Severity.UNAVAILABLE, summary);
	}

	/**
	 * Response that a code expects of an operator.
	 */
	public enum Severity {

		/** An operator has to act. */
		ERROR,
		/** Handled by the system; monitor its rate. */
		WARNING,
		/** A request was rejected; the caller may retry later. */
		REFUSAL,
		/** An external system does not respond; a retry may succeed. */
		UNAVAILABLE

	}

}
