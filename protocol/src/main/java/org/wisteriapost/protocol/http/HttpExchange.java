package org.wisteriapost.protocol.http;

/**
 * A streamed call in progress.
 */
public interface HttpExchange {

	/**
	 * Closes the connection. The listener's {@code onFailure} is called unless the
	 * response was complete.
	 */
	void cancel();

	/**
	 * Stops reading the response until {@link #resume}, so that a slow consumer throttles
	 * the server instead of filling the heap.
	 */
	void pause();

	/**
	 * Continues reading after {@link #pause}.
	 */
	void resume();

}
