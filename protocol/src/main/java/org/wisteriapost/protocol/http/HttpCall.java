package org.wisteriapost.protocol.http;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One HTTP request.
 *
 * @param method GET, PUT, ...
 * @param target the absolute URI, host as an IP number
 * @param headers by name
 * @param body empty for none
 * @param timeout until the whole answer; the connection is closed when it passes, never
 * reused
 */
public record HttpCall(String method, URI target, Map<String, String> headers, byte[] body, Duration timeout) {

	private static final byte[] NO_BODY = new byte[0];

	/**
	 * Returns a request without a body.
	 */
	public static HttpCall of(String method, URI target, Duration timeout) {
		return new HttpCall(method, target, Map.of(), NO_BODY, timeout);
	}

	/**
	 * Returns this request with one more header.
	 */
	public HttpCall header(String name, String value) {
		Map<String, String> more = new LinkedHashMap<>(this.headers);
		more.put(name, value);
		return new HttpCall(this.method, this.target, more, this.body, this.timeout);
	}

	/**
	 * Returns this request with a body.
	 */
	public HttpCall body(byte[] body) {
		return new HttpCall(this.method, this.target, this.headers, body, this.timeout);
	}

}
