package org.wisteriapost.protocol.http;

/**
 * A streamed call in progress.
 */
public interface HttpExchange {

	/**
	 * Closes the connection; the listener hears a failure unless the answer had ended.
	 */
	void cancel();

	/**
	 * Stops reading the answer until {@link #resume}, so that a slow reader downstream
	 * slows the sender instead of filling this process's heap.
	 */
	void pause();

	/**
	 * Goes on reading after {@link #pause}.
	 */
	void resume();

}
