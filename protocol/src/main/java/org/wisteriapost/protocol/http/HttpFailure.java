package org.wisteriapost.protocol.http;

/**
 * Tells whether a failed call may have reached the other side.
 */
public final class HttpFailure extends RuntimeException {

	private final boolean sent;

	HttpFailure(boolean sent, Throwable cause) {
		super(cause.getMessage(), cause);
		this.sent = sent;
	}

	/**
	 * Returns false only when not one byte of the request left this process.
	 */
	public boolean sent() {
		return this.sent;
	}

}
