package org.wisteriapost.protocol.http;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * An HTTP request.
 *
 * @param method GET, PUT, ...
 * @param target the absolute URI; its host is an IP address
 * @param headers by name
 * @param body empty for none
 * @param timeouts the timeouts
 * @param maxReuseIdle maximum idle time of a reused connection; empty for no limit
 * @param maxKeepIdle maximum idle time of the connection afterwards; empty for the
 * server's limit
 * @param series the calls whose responses can't be told from the one to this call
 * @param identifyingHeader the header that identifies the call and that a server may
 * repeat in its response
 * @param rawTarget the path and query as they are sent, where the target has none
 */
public record HttpCall(String method, URI target, Map<String, String> headers, byte[] body, HttpTimeouts timeouts,
		Optional<Duration> maxReuseIdle, Optional<Duration> maxKeepIdle, Optional<CallSeries> series,
		Optional<String> identifyingHeader, Optional<String> rawTarget) {

	private static final byte[] NO_BODY = new byte[0];

	/**
	 * Returns a request without a body.
	 * @param timeout the timeout for the complete response
	 */
	public static HttpCall of(String method, URI target, Duration timeout) {
		return of(method, target, HttpTimeouts.total(timeout));
	}

	/**
	 * Returns a request without a body.
	 */
	public static HttpCall of(String method, URI target, HttpTimeouts times) {
		return new HttpCall(method, target, Map.of(), NO_BODY, times, Optional.empty(), Optional.empty(),
				Optional.empty(), Optional.empty(), Optional.empty());
	}

	/**
	 * Returns this request with the given headers only.
	 */
	public HttpCall headers(Map<String, String> all) {
		return new HttpCall(this.method, this.target, all, this.body, this.timeouts, this.maxReuseIdle,
				this.maxKeepIdle, this.series, this.identifyingHeader, this.rawTarget);
	}

	/**
	 * Returns this request with a path and query that are sent as they are, and need not
	 * be those of a URI. They must not have spaces or line ends.
	 */
	public HttpCall rawTarget(String pathAndQuery) {
		return new HttpCall(this.method, this.target, this.headers, this.body, this.timeouts, this.maxReuseIdle,
				this.maxKeepIdle, this.series, this.identifyingHeader, Optional.of(pathAndQuery));
	}

	/**
	 * Returns this request with one more header.
	 */
	public HttpCall header(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpCall(this.method, this.target, extended, this.body, this.timeouts, this.maxReuseIdle,
				this.maxKeepIdle, this.series, this.identifyingHeader, this.rawTarget);
	}

	/**
	 * Returns this request with a limit on the idle time that a reused connection has
	 * had; zero for a connection of its own.
	 */
	public HttpCall maxReuseIdle(Duration maxIdle) {
		return new HttpCall(this.method, this.target, this.headers, this.body, this.timeouts, Optional.of(maxIdle),
				this.maxKeepIdle, this.series, this.identifyingHeader, this.rawTarget);
	}

	/**
	 * Returns this request with a limit on the idle time of its connection afterwards,
	 * for a server with many clients and a low connection limit.
	 */
	public HttpCall maxKeepIdle(Duration maxIdle) {
		return new HttpCall(this.method, this.target, this.headers, this.body, this.timeouts, this.maxReuseIdle,
				Optional.of(maxIdle), this.series, this.identifyingHeader, this.rawTarget);
	}

	/**
	 * Returns this request with a header that identifies it. A response that bears
	 * another value of this header is one to another call and fails this one; a response
	 * without it is accepted.
	 */
	public HttpCall identifiedBy(String name, String value) {
		HttpCall named = header(name, value);
		return new HttpCall(named.method, named.target, named.headers, named.body, named.timeouts, named.maxReuseIdle,
				named.maxKeepIdle, named.series, Optional.of(name), named.rawTarget);
	}

	/**
	 * Returns this request with an identification of its own in a header, as
	 * {@link #identifiedBy(String, String)} does.
	 */
	public HttpCall identifiedBy(String name) {
		return identifiedBy(name, Long.toHexString(ThreadLocalRandom.current().nextLong()));
	}

	/**
	 * Returns the path and query as they are sent.
	 */
	String requestTarget() {
		return this.rawTarget.orElseGet(() -> {
			String query = (this.target.getRawQuery() != null) ? "?" + this.target.getRawQuery() : "";
			return (this.target.getRawPath().isEmpty() ? "/" : this.target.getRawPath()) + query;
		});
	}

	/**
	 * Returns whether a response is one to another call.
	 * @param responseHeaders by lower-case name
	 */
	boolean isForOtherCall(Map<String, String> responseHeaders) {
		return this.identifyingHeader
			.filter((name) -> !this.headers.get(name)
				.equals(responseHeaders.getOrDefault(name.toLowerCase(Locale.ROOT), this.headers.get(name))))
			.isPresent();
	}

	/**
	 * Returns this request as one of a series.
	 */
	public HttpCall in(CallSeries calls) {
		return new HttpCall(this.method, this.target, this.headers, this.body, this.timeouts, this.maxReuseIdle,
				this.maxKeepIdle, Optional.of(calls), this.identifyingHeader, this.rawTarget);
	}

	/**
	 * Returns this request with a body.
	 */
	public HttpCall body(byte[] body) {
		return new HttpCall(this.method, this.target, this.headers, body, this.timeouts, this.maxReuseIdle,
				this.maxKeepIdle, this.series, this.identifyingHeader, this.rawTarget);
	}

}
