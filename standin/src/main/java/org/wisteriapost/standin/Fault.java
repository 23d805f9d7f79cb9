package org.wisteriapost.standin;

/**
 * How a stand-in is to misbehave.
 *
 * @param kind what goes wrong
 * @param path only calls whose path starts so; empty for all
 * @param millis how long a slow call is held
 * @param calls for how many calls; 0 until cleared
 */
public record Fault(Kind kind, String path, long millis, long calls) {

	public Fault {
		path = (path != null) ? path : "";
	}

	/**
	 * Returns a fault of all calls until it is cleared.
	 */
	public static Fault of(Kind kind) {
		return new Fault(kind, "", 0, 0);
	}

	/**
	 * What goes wrong.
	 */
	public enum Kind {

		/** Clears all faults. */
		NONE,
		/** 503 before anything is done. */
		DOWN,
		/** The connection is closed before anything is done. */
		REFUSE,
		/** Held for some milliseconds first. */
		SLOW,
		/** The work is done, then the connection is closed without an answer. */
		LOSE_ANSWERS,
		/** Half the answer, then nothing more, the connection open. */
		STALL,
		/** One byte of the answer is another. */
		CORRUPT,
		/** Half the answer, then the connection is closed. */
		CUT

	}

}
