package org.wisteriapost.standin;

/**
 * A fault to inject into a stand-in.
 *
 * @param kind what goes wrong
 * @param path prefix of the paths of affected calls; empty for all calls
 * @param millis delay of a slow call
 * @param calls number of affected calls; 0 for no limit
 */
public record Fault(Kind kind, String path, long millis, long calls) {

	public Fault {
		path = (path != null) ? path : "";
	}

	/**
	 * Returns a fault that affects all calls until it is cleared.
	 */
	public static Fault of(Kind kind) {
		return new Fault(kind, "", 0, 0);
	}

	/**
	 * The kinds of faults.
	 */
	public enum Kind {

		/** Clears all faults. */
		NONE,
		/** Responds 503 without executing the call. */
		DOWN,
		/** Closes the connection without executing the call. */
		REFUSE,
		/** Delays the call before executing it. */
		SLOW,
		/** Executes the call, then closes the connection without a response. */
		LOSE_ANSWERS,
		/** Sends half of the response, then nothing more on the open connection. */
		STALL,
		/** Changes one byte of the response. */
		CORRUPT,
		/** Sends half of the response, then closes the connection. */
		CUT

	}

}
