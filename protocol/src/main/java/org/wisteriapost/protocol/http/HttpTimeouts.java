package org.wisteriapost.protocol.http;

import java.time.Duration;

/**
 * The timeouts of a call. When one expires, the connection is closed and not reused.
 *
 * @param connect timeout for a new connection
 * @param responseStart timeout from the request to the start of the response
 * @param readIdle timeout between two chunks of the response, not enforced before
 * {@code first} has expired
 * @param total timeout from the start of the call to the complete response
 */
public record HttpTimeouts(Duration connect, Duration responseStart, Duration readIdle, Duration total) {

	// Within a site a connection takes a few milliseconds. A lost SYN is
	// retransmitted only after a second, and by then another runner can have
	// answered.
	private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(400);

	/**
	 * Returns a timeout for the whole call and the default connection timeout.
	 */
	public static HttpTimeouts total(Duration whole) {
		return new HttpTimeouts(DEFAULT_CONNECT_TIMEOUT, whole, whole, whole);
	}

	/**
	 * Returns these timeouts with another connection timeout.
	 */
	public HttpTimeouts connect(Duration timeout) {
		return new HttpTimeouts(timeout, this.responseStart, this.readIdle, this.total);
	}

	/**
	 * Returns these timeouts with timeouts for progress, so that a large response is not
	 * aborted while it is still arriving.
	 */
	public HttpTimeouts withProgress(Duration first, Duration stall) {
		return new HttpTimeouts(this.connect, first, stall, this.total);
	}

	boolean hasProgressTimeouts() {
		return this.responseStart.compareTo(this.total) < 0 || this.readIdle.compareTo(this.total) < 0;
	}

}
