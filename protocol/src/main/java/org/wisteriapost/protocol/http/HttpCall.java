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
 * @param times how long it waits
 * @param mostIdle how long a reused connection may have been idle; empty for as long as
 * it is kept
 * @param keptIdle how long its connection is kept afterwards at most; empty for as long
 * as the server keeps it
 */
public record HttpCall(String method, URI target, Map<String, String> headers, byte[] body, HttpTimes times,
		Optional<Duration> mostIdle, Optional<Duration> keptIdle) {

	private static final byte[] NO_BODY = new byte[0];

	/**
	 * Returns a request without a body.
	 * @param timeout until the whole answer
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
		Map<String, String> more = new LinkedHashMap<>(this.headers);
		more.put(name, value);
		return new HttpCall(this.method, this.target, more, this.body, this.times, this.mostIdle, this.keptIdle);
	}

	/**
	 * Returns this request with a bound on how long its connection is kept idle
	 * afterwards, for a server that many share and that takes few connections.
	 */
	public HttpCall keptIdle(Duration most) {
		return new HttpCall(this.method, this.target, this.headers, this.body, this.times, this.mostIdle,
				Optional.of(most));
	}

	/**
	 * Returns this request with a body.
	 */
	public HttpCall body(byte[] body) {
		return new HttpCall(this.method, this.target, this.headers, body, this.times, this.mostIdle, this.keptIdle);
	}

}
