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

	/**
	 * Returns whether the request of a failed call may have reached the server; true when
	 * unknown.
	 * @param failure the failure of the call, also as a cause
	 */
	public static boolean wasSent(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof HttpCallException known) {
				return known.sent();
			}
		}
		return true;
	}

}
