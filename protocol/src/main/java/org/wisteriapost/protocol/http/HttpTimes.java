package org.wisteriapost.protocol.http;

import java.time.Duration;

/**
 * The timeouts of a call. When one expires, the connection is closed and not reused.
 *
 * @param connect timeout for a new connection
 * @param first timeout from the request to the start of the response
 * @param stall timeout between two chunks of the response, not enforced before
 * {@code first} has expired
 * @param whole timeout from the start of the call to the complete response
 */
public record HttpTimes(Duration connect, Duration first, Duration stall, Duration whole) {

	// Within a site a connection takes a few milliseconds. A lost SYN is
	// retransmitted only after a second, and by then another runner can have
	// answered.
	private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(400);

	/**
	 * Returns a timeout for the whole call and the default connection timeout.
	 */
	public static HttpTimes whole(Duration whole) {
		return new HttpTimes(DEFAULT_CONNECT_TIMEOUT, whole, whole, whole);
	}

	/**
	 * Returns these timeouts with another connection timeout.
	 */
	public HttpTimes connect(Duration timeout) {
		return new HttpTimes(timeout, this.first, this.stall, this.whole);
	}

	/**
	 * Returns these timeouts with timeouts for progress, so that a large response is not
	 * aborted while it is still arriving.
	 */
	public HttpTimes progress(Duration first, Duration stall) {
		return new HttpTimes(this.connect, first, stall, this.whole);
	}

	boolean hasProgressTimeouts() {
		return this.first.compareTo(this.whole) < 0 || this.stall.compareTo(this.whole) < 0;
	}

}
