package org.wisteriapost.policy.rollout;

import java.time.Duration;

/**
 * Says when an engine's turn to change weights comes.
 *
 * Load: all engines have new weights at the same moment. Harm prevented: all of them are
 * away at once, and nobody answers for a second or two. They change over in groups, the
 * last of them before the weights must be in force.
 */
final class Turns {

	/** From the end of a fetch to the first turn: the check of what is staged. */
	static final Duration LEAD = Duration.ofMillis(450);

	// An engine ends what it runs and is away for some two seconds under full load; a
	// group begins when the one before it is back, as far as time allows. Turns spread
	// evenly over a time that is no longer than that put all engines away at its end:
	// 73 of 360 requests in time then.
	private static final Duration AWAY = Duration.ofMillis(2000);

	private static final int LEAST_GROUPS = 2;

	// More groups gain little: with four, three quarters of the engines answer.
	private static final int MOST_GROUPS = 4;

	// A version that a newer one waits for is taken quickly, since the fetch of the newer
	// one can begin only then.
	private static final Duration SPREAD_HURRIED = Duration.ofMillis(900);

	// Of the time until the weights must be in force: from then on no turn waits.
	private static final double LATEST = 0.84;

	private final long inForceNanos;

	private double position;

	Turns(Duration inForce) {
		this.inForceNanos = inForce.toNanos();
	}

	/**
	 * Hears this engine's place among all that change over, from 0 to below 1.
	 */
	void position(double among) {
		this.position = among;
	}

	/**
	 * Returns until when a turn may wait for weights that were named at a time.
	 */
	long latest(long namedNanos) {
		return namedNanos + (long) (LATEST * this.inForceNanos);
	}

	/**
	 * Returns when this engine's turn comes.
	 * @param fetchedNanos when its fetch ends
	 * @param namedNanos when the weights were named
	 * @param newest whether no newer ones wait for them
	 */
	long after(long fetchedNanos, long namedNanos, boolean newest) {
		long earliest = fetchedNanos + LEAD.toNanos();
		long latest = latest(namedNanos);
		long spread = Math.max(0, newest ? latest - earliest : Math.min(latest - earliest, SPREAD_HURRIED.toNanos()));
		int groups = (int) Math.clamp(1 + spread / AWAY.toNanos(), LEAST_GROUPS, MOST_GROUPS);
		long between = Math.min(spread / (groups - 1), AWAY.toNanos());
		return earliest + (long) (this.position * groups) * between;
	}

}
