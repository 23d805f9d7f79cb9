package org.wisteriapost.protocol.http;

import java.util.Optional;

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
	 * States that the rest of the response is not needed. It is read for a short time, so
	 * that the connection can be used again, and the call cancelled if it does not end.
	 */
	void discardRest();

	/**
	 * Returns the connection that the request was sent on, once it was.
	 */
	Optional<ConnectionUse> connectionUse();

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
