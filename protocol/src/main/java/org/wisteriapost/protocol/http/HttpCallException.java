package org.wisteriapost.protocol.http;

/**
 * A failed call, with whether its request may have reached the server.
 */
public final class HttpCallException extends RuntimeException {

	private final boolean sent;

	HttpCallException(boolean sent, Throwable cause) {
		super(cause.getMessage(), cause);
		this.sent = sent;
	}

	/**
	 * Returns false only when no byte of the request was sent.
	 */
	public boolean sent() {
		return this.sent;
	}

}
