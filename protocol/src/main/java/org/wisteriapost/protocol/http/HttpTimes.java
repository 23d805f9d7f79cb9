package org.wisteriapost.protocol.http;

import java.time.Duration;

/**
 * How long a call waits for what. When a time passes, the connection is closed and never
 * reused.
 *
 * @param connect until a new connection is there
 * @param first from the request on until the answer begins
 * @param stall after each piece of the answer until the next; one that comes within
 * {@code first} is in time as well
 * @param whole from the start of the call until the whole answer
 */
public record HttpTimes(Duration connect, Duration first, Duration stall, Duration whole) {

	// Within a site a connection is there after a few milliseconds. A lost opening packet
	// is sent again only after a second, which is later than another runner answers.
	private static final Duration USUAL_CONNECT = Duration.ofMillis(400);

	/**
	 * Returns a bound on the whole answer alone, and the usual one on the connection.
	 */
	public static HttpTimes whole(Duration whole) {
		return new HttpTimes(USUAL_CONNECT, whole, whole, whole);
	}

	/**
	 * Returns these times with another bound on the connection.
	 */
	public HttpTimes connect(Duration most) {
		return new HttpTimes(most, this.first, this.stall, this.whole);
	}

	/**
	 * Returns these times with bounds on the waits within an answer, so that one that
	 * keeps coming is not cut for its size.
	 */
	public HttpTimes progress(Duration first, Duration stall) {
		return new HttpTimes(this.connect, first, stall, this.whole);
	}

	boolean watchesProgress() {
		return this.first.compareTo(this.whole) < 0 || this.stall.compareTo(this.whole) < 0;
	}

}
