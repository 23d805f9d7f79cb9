package org.wisteriapost.policy.request;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Returns when a request that failed may be tried elsewhere, if at all.
 *
 * Load: runners fail while there is hardly room to spare. Harm prevented: every failure
 * turns into two or three calls, which make the rest fail.
 *
 * A token bucket that fills by a share of the first dispatches: retries add at most that
 * share to the load, whatever fails. Some tokens are there from the start, so that a
 * quiet entry can retry at all. At most two retries, for a request that fails everywhere
 * is at fault itself. The wait is jittered, so that calls which failed together do not
 * come back together.
 */
final class RetryBudget {

	private static final double MOST_TOKENS = 20;

	private static final int MOST_DISPATCHES = 3;

	private static final long WAIT_NANOS = Duration.ofMillis(10).toNanos();

	private final double share;

	private final UniformRandomProvider random;

	private double tokens = MOST_TOKENS;

	RetryBudget(RequestPolicySettings settings, UniformRandomProvider random) {
		this.share = settings.retryShare();
		this.random = random;
	}

	/**
	 * Notes the first dispatch of a request.
	 */
	void dispatched() {
		this.tokens = Math.min(MOST_TOKENS, this.tokens + this.share);
	}

	/**
	 * Returns whether a failed request may run again at all: its answer has not begun,
	 * and it is idempotent or has certainly not run.
	 */
	static boolean repeatable(Flight flight) {
		return !flight.started && (flight.request.idempotent() || !flight.mayHaveRun());
	}

	/**
	 * Takes a token for a retry and returns whether there was one.
	 */
	boolean take(Flight flight) {
		if (!repeatable(flight) || flight.dispatches >= MOST_DISPATCHES || this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Returns the time to wait before a retry.
	 */
	long waitNanos(Flight flight) {
		double jitter = 0.5 + this.random.nextDouble();
		return (long) (WAIT_NANOS * jitter * flight.dispatches);
	}

}
