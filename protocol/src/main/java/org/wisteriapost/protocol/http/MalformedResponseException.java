package org.wisteriapost.protocol.http;

import java.io.IOException;

/**
 * A response that is not well-formed, so that neither its fields nor its body can be
 * trusted. The request may have been executed.
 */
public final class MalformedResponseException extends IOException {

	private static final long serialVersionUID = 1;

	private MalformedResponseException(String detail) {
		super("malformed response: " + detail);
	}

	/**
	 * Returns an exception.
	 * @param detail what is malformed; no bytes of the response, which are unbounded
	 */
	static MalformedResponseException of(String detail) {
		return new MalformedResponseException(detail);
	}

}
