package org.wisteriapost.policy.rollout;

import java.time.Duration;

/**
 * Computes when this engine switches to new weights.
 *
 * All engines finish their fetch at about the same time. Without a schedule all of them
 * would switch at once, and no request would be served for a second or two. They switch
 * in groups, the last of them before the weights become active.
 */
final class SwitchSchedule {

	/**
	 * Time from the end of a fetch to the first switch, in which the staged weights are
	 * verified.
	 */
	static final Duration LEAD = Duration.ofMillis(450);

	// Under full load an engine needs some two seconds to finish its requests and
	// switch. A group begins when the previous one is back, as far as time allows:
	// switches spread evenly over less than that time would make all engines unavailable
	// at its end, where 73 of 360 requests were answered in time.
	private static final Duration SWITCH_DURATION = Duration.ofMillis(2000);

	private static final int MIN_GROUPS = 2;

	// With four groups three quarters of the engines stay available; more gain little.
	private static final int MAX_GROUPS = 4;

	// A version that has been superseded is taken quickly, since the fetch of the newer
	// one can begin only afterwards.
	private static final Duration MAX_SPREAD_SUPERSEDED = Duration.ofMillis(900);

	// The share of the time until activation after which no switch is delayed any more.
	private static final double LATEST_SHARE = 0.84;

	private final long activationNanos;

	private double position;

	SwitchSchedule(Duration activation) {
		this.activationNanos = activation.toNanos();
	}

	/**
	 * Sets this engine's position among all engines that switch, from 0 to below 1.
	 */
	void position(double value) {
		this.position = value;
	}

	/**
	 * Returns the latest time of a switch to a version that became the target at a time.
	 */
	long latestNanos(long targetNanos) {
		return targetNanos + (long) (LATEST_SHARE * this.activationNanos);
	}

	/**
	 * Returns when this engine switches.
	 * @param fetchedNanos when its fetch ends
	 * @param targetNanos when the version became the target
	 * @param newest whether no newer version is pending
	 */
	long switchNanos(long fetchedNanos, long targetNanos, boolean newest) {
		long earliest = fetchedNanos + LEAD.toNanos();
		long latest = latestNanos(targetNanos);
		long spread = Math.max(0,
				newest ? latest - earliest : Math.min(latest - earliest, MAX_SPREAD_SUPERSEDED.toNanos()));
		int groups = (int) Math.clamp(1 + spread / SWITCH_DURATION.toNanos(), MIN_GROUPS, MAX_GROUPS);
		long interval = Math.min(spread / (groups - 1), SWITCH_DURATION.toNanos());
		return earliest + (long) (this.position * groups) * interval;
	}

}
