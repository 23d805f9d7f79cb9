package org.wisteriapost.entry.caller;

/**
 * The entry's event loop as seen by the HTTP threads.
 */
public interface CallIntake {

	/**
	 * Submits a request; returns false if the event loop's queue is full, in which case
	 * the request was not started.
	 */
	boolean submit(CallerCall call);

	/**
	 * Reports that a caller has disconnected.
	 */
	void callerDisconnected(long id);

	/**
	 * Counts a request that was answered without being submitted.
	 */
	void rejected(String code);

	/**
	 * Returns the state that was published last.
	 */
	EntryView view();

}
