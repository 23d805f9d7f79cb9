package org.wisteriapost.entry.direct;

import java.time.Duration;

/**
 * Paces an entry's leaving.
 *
 * Callers keep the addresses they were told for some seconds and reuse open connections,
 * so an entry that closes at once cuts requests that are on their way. It goes on
 * answering while they move, then refuses what still comes as not run, and ends when the
 * last answer is out, at the latest shortly before it would be killed.
 */
final class Departure {

	// Callers keep an address answer for a second, some of them three times as long. What
	// is
	// taken later than this may not end before the process has to: a stream of a usual
	// length lasts up to four seconds at a full engine.
	private static final long SERVE_NANOS = Duration.ofMillis(2900).toNanos();

	private static final long LEAST_NANOS = Duration.ofMillis(2600).toNanos();

	private static final long QUIET_NANOS = Duration.ofMillis(900).toNanos();

	private static final Duration RESERVE = Duration.ofMillis(400);

	private final long graceNanos;

	private boolean leaving;

	private long sinceNanos;

	private long arrivedNanos = Long.MIN_VALUE / 2;

	Departure(Duration grace) {
		this.graceNanos = grace.minus(RESERVE).toNanos();
	}

	void arrived(long nowNanos) {
		this.arrivedNanos = nowNanos;
	}

	void leave(long nowNanos) {
		this.leaving = true;
		this.sinceNanos = nowNanos;
	}

	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Returns whether new requests are turned away.
	 */
	boolean refuses(long nowNanos) {
		return this.leaving && nowNanos - this.sinceNanos > SERVE_NANOS;
	}

	/**
	 * Returns whether the process may end.
	 */
	boolean over(int inProgress, long nowNanos) {
		if (!this.leaving) {
			return false;
		}
		long gone = nowNanos - this.sinceNanos;
		if (gone > this.graceNanos) {
			return true;
		}
		boolean quiet = nowNanos - this.arrivedNanos > QUIET_NANOS;
		return inProgress == 0 && gone > LEAST_NANOS && (quiet || gone > SERVE_NANOS + QUIET_NANOS);
	}

}
