package org.wisteriapost.kernel.command;

/**
 * Exit codes of the binary.
 */
public final class ExitCodes {

	public static final int OK = 0;

	/** The command ran with a negative result: a lost roll or a failed check. */
	public static final int FAILED = 1;

	/**
	 * The command line, a settings file or a bundle is invalid; nothing was started.
	 */
	public static final int BAD_INPUT = 2;

	/** An external system did not respond; the output reports any completed write. */
	public static final int UNAVAILABLE = 3;

	private ExitCodes() {
	}

}
