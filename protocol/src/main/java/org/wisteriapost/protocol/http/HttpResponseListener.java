package org.wisteriapost.protocol.http;

import java.util.List;
import java.util.Map;

/**
 * Receives a streamed response, in order, on an I/O thread. Must not block. Exactly one
 * of {@link #onEnd} and {@link #onFailure} is called, last.
 */
public interface HttpResponseListener {

	/**
	 * Called when a new connection for the call is established, before anything is sent.
	 * Not called for a reused connection.
	 */
	default void onConnected() {
	}

	/**
	 * Called once with the status and the headers by lower-case name.
	 */
	void onHead(int status, Map<String, String> headers);

	/**
	 * Called once with all headers as received. By default it calls
	 * {@link #onHead(int, Map)}.
	 * @param all every header in order, with its name as received
	 */
	default void onHead(int status, Map<String, String> headers, List<Map.Entry<String, String>> all) {
		onHead(status, headers);
	}

	/**
	 * Called for each chunk of the body.
	 */
	void onData(byte[] data);

	/**
	 * Called when the response is complete.
	 */
	void onEnd();

	/**
	 * Called when the call has failed before the response was complete.
	 * @param sent whether any byte of the request may have reached the server; only false
	 * guarantees that the request did not run
	 */
	void onFailure(boolean sent, Throwable cause);

}
