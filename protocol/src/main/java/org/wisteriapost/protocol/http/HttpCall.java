package org.wisteriapost.protocol.http;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP request.
 *
 * @param method GET, PUT, ...
 * @param target the absolute URI; its host is an IP address
 * @param headers by name
 * @param body empty for none
 * @param times the timeouts
 * @param mostIdle maximum idle time of a reused connection; empty for no limit
 * @param keptIdle maximum idle time of the connection afterwards; empty for the server's
 * limit
 */
public record HttpCall(String method, URI target, Map<String, String> headers, byte[] body, HttpTimes times,
		Optional<Duration> mostIdle, Optional<Duration> keptIdle) {

	private static final byte[] NO_BODY = new byte[0];

	/**
	 * Returns a request without a body.
	 * @param timeout the timeout for the complete response
	 */
	public static HttpCall of(String method, URI target, Duration timeout) {
		return of(method, target, HttpTimes.whole(timeout));
	}

	/**
	 * Returns a request without a body.
	 */
	public static HttpCall of(String method, URI target, HttpTimes times) {
		return new HttpCall(method, target, Map.of(), NO_BODY, times, Optional.empty(), Optional.empty());
	}

	/**
	 * Returns this request with one more header.
	 */
	public HttpCall header(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpCall(this.method, this.target, extended, this.body, this.times, this.mostIdle, this.keptIdle);
	}

	/**
	 * Returns this request with a limit on the idle time of its connection afterwards,
	 * for a server with many clients and a low connection limit.
	 */
	public HttpCall keptIdle(Duration maxIdle) {
		return new HttpCall(this.method, this.target, this.headers, this.body, this.times, this.mostIdle,
				Optional.of(maxIdle));
	}

	/**
	 * Returns this request with a body.
	 */
	public HttpCall body(byte[] body) {
		return new HttpCall(this.method, this.target, this.headers, body, this.times, this.mostIdle, this.keptIdle);
	}

}
