package org.wisteriapost.protocol.http;

import java.util.List;
import java.util.Map;

/**
 * Hears a streamed answer, in order, on an I/O thread; must not block. Exactly one of
 * {@link #onEnd} and {@link #onFailure} is called, last.
 */
public interface HttpListener {

	/**
	 * Called when a new connection for the call is there, before anything is sent over
	 * it; not for one that is used again.
	 */
	default void onConnected() {
	}

	/**
	 * Called once with the status and the headers by lower-case name.
	 */
	void onHead(int status, Map<String, String> headers);

	/**
	 * Called once, instead of the method above, with all headers as they were sent.
	 * @param all every header in order, names as sent
	 */
	default void onHead(int status, Map<String, String> headers, List<Map.Entry<String, String>> all) {
		onHead(status, headers);
	}

	/**
	 * Called for each piece of the body.
	 */
	void onData(byte[] data);

	/**
	 * Called when the whole answer has come.
	 */
	void onEnd();

	/**
	 * Called when the answer will not come whole.
	 * @param sent whether any byte of the request may have reached the other side; false
	 * is the only proof that it did not run
	 */
	void onFailure(boolean sent, Throwable cause);

}
