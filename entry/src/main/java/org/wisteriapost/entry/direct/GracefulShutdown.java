package org.wisteriapost.entry.direct;

import java.time.Duration;

/**
 * Decides how long an entry that shuts down accepts requests and when it may exit.
 *
 * Callers cache entry addresses for some seconds and reuse open connections, so an entry
 * that closes at once cuts off requests in transit. A leaving entry therefore keeps
 * serving while callers move to others, then refuses new requests as not run, and exits
 * after the last answer or shortly before the grace period ends.
 */
final class GracefulShutdown {

	// Callers cache an address for one second, some of them for up to three. A request
	// accepted later than this could be cut off at exit: a stream of usual length takes
	// up to four seconds on a fully loaded engine.
	private static final long ACCEPT_NANOS = Duration.ofMillis(2900).toNanos();

	private static final long MIN_DRAIN_NANOS = Duration.ofMillis(2600).toNanos();

	private static final long IDLE_NANOS = Duration.ofMillis(900).toNanos();

	private static final Duration KILL_MARGIN = Duration.ofMillis(400);

	// For the last answers to be sent.
	private static final long ANSWER_NANOS = Duration.ofMillis(200).toNanos();

	private final long maxDrainNanos;

	private boolean leaving;

	private boolean exiting;

	private long startNanos;

	private long lastArrivalNanos = Long.MIN_VALUE / 2;

	GracefulShutdown(Duration grace) {
		this.maxDrainNanos = grace.minus(KILL_MARGIN).toNanos();
	}

	void requestArrived(long nowNanos) {
		this.lastArrivalNanos = nowNanos;
	}

	void begin(long nowNanos) {
		this.leaving = true;
		this.startNanos = nowNanos;
	}

	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Returns whether new requests are refused.
	 */
	boolean refusesRequests(long nowNanos) {
		return this.exiting || (this.leaving && nowNanos - this.startNanos > ACCEPT_NANOS);
	}

	/**
	 * Returns whether requests in progress are ended, since their answers would be cut.
	 */
	boolean endsRequests(long nowNanos) {
		return this.leaving && nowNanos - this.startNanos > this.maxDrainNanos - ANSWER_NANOS;
	}

	/**
	 * Returns whether the process may exit, which does not change any more. A request
	 * that arrived after that could be passed on and cut.
	 * @param unanswered the number of requests whose answers are not known or not sent
	 * whole
	 */
	boolean mayExit(int unanswered, long nowNanos) {
		this.exiting |= this.leaving && complete(unanswered, nowNanos);
		return this.exiting;
	}

	private boolean complete(int unanswered, long nowNanos) {
		long elapsed = nowNanos - this.startNanos;
		if (elapsed > this.maxDrainNanos) {
			return true;
		}
		boolean idle = nowNanos - this.lastArrivalNanos > IDLE_NANOS;
		return unanswered == 0 && elapsed > MIN_DRAIN_NANOS && (idle || elapsed > ACCEPT_NANOS + IDLE_NANOS);
	}

}
