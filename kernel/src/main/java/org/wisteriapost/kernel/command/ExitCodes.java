package org.wisteriapost.kernel.command;

/**
 * What the binary's exit code says.
 */
public final class ExitCodes {

	/** Done. */
	public static final int OK = 0;

	/** The command ran and its answer is no: a roll that lost, a check that failed. */
	public static final int FAILED = 1;

	/**
	 * The command line, a settings file or a bundle has findings; nothing was started.
	 */
	public static final int BAD_INPUT = 2;

	/** An outside system did not answer; what was written, if anything, is said. */
	public static final int UNAVAILABLE = 3;

	private ExitCodes() {
	}

}
