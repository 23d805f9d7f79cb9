package org.wisteriapost.protocol.http;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One HTTP request.
 *
 * @param method GET, PUT, ...
 * @param target the absolute URI, host as an IP number
 * @param headers by name
 * @param body empty for none
 * @param timeout until the whole answer; the connection is closed when it passes, never
 * reused
 * @param mostIdle how long a reused connection may have been idle; empty for as long as
 * it is kept
 */
public record HttpCall(String method, URI target, Map<String, String> headers, byte[] body, Duration timeout,
		Optional<Duration> mostIdle) {

	private static final byte[] NO_BODY = new byte[0];

	/**
	 * Returns a request without a body.
	 */
	public static HttpCall of(String method, URI target, Duration timeout) {
		return new HttpCall(method, target, Map.of(), NO_BODY, timeout, Optional.empty());
	}

	/**
	 * Returns this request with one more header.
	 */
	public HttpCall header(String name, String value) {
		Map<String, String> more = new LinkedHashMap<>(this.headers);
		more.put(name, value);
		return new HttpCall(this.method, this.target, more, this.body, this.timeout, this.mostIdle);
	}

	/**
	 * Returns this request with a body.
	 */
	public HttpCall body(byte[] body) {
		return new HttpCall(this.method, this.target, this.headers, body, this.timeout, this.mostIdle);
	}

}
