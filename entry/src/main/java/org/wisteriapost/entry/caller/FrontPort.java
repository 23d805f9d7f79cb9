package org.wisteriapost.entry.caller;

/**
 * Where the HTTP side hands its requests to and learns what it may know.
 */
public interface FrontPort {

	/**
	 * Takes a request; false when the event loop is full and nothing was started.
	 */
	boolean submit(CallerCall call);

	/**
	 * Says that a caller has hung up.
	 */
	void gone(long id);

	/**
	 * Counts a request that was answered without being handed over.
	 */
	void turnedAway(String code);

	/**
	 * Returns what is known now.
	 */
	ServiceView view();

}
