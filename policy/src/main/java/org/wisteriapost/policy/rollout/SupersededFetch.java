package org.wisteriapost.policy.rollout;

import java.time.Duration;

import org.wisteriapost.policy.fleet.TargetWeights;

/**
 * The choice between finishing the fetch of a superseded version and fetching the newer
 * one at once.
 *
 * Two versions are published within seconds and the origin becomes unreachable while the
 * first is fetched. If agents finish it late, the newer one is fetched later by that time
 * and by a switch, and is active only seconds after it is required: no engine can be sent
 * a request meanwhile. The choice that leaves the engines without a usable version for
 * less time is better. All agents see about the same rates and deadlines, and so choose
 * alike.
 *
 * @param restNanos the time until the fetch ends
 * @param wholeFetchNanos the time that the fetch of the newer version takes
 * @param requiredNanos from when no request may be sent to engines with weights before
 * the older version
 * @param newerRequiredNanos the same for the newer version
 */
record SupersededFetch(long restNanos, long wholeFetchNanos, long requiredNanos, long newerRequiredNanos) {

	// Verification of the staged weights, the order and loading.
	private static final long SWITCH_NANOS = Duration.ofMillis(1000).toNanos();

	// With a smaller gain the estimates of different agents may differ in sign.
	private static final long MIN_GAIN_NANOS = Duration.ofMillis(300).toNanos();

	/**
	 * Returns the choice for a fetch.
	 * @param olderTargetNanos when the version that is fetched became the target
	 * @param newerTargetNanos when the newer version became the target
	 * @param activation time from the publication of a target version until no request
	 * may start on older ones
	 */
	static SupersededFetch of(FetchProgress progress, long olderTargetNanos, long newerTargetNanos, Duration activation,
			long nowNanos) {
		long whole = progress.wholeFetchWithoutStallsNanos();
		long required = activation.minus(TargetWeights.REQUIRED_MARGIN).toNanos();
		return new SupersededFetch(progress.restNanos(), whole, olderTargetNanos + required - nowNanos,
				newerTargetNanos + required - nowNanos);
	}

	/**
	 * Returns whether the engines are without a usable version for less time if the fetch
	 * is abandoned.
	 */
	boolean betterAbandoned() {
		return gapWhenFinished() - gapWhenAbandoned() >= MIN_GAIN_NANOS;
	}

	private long gapWhenFinished() {
		long active = this.restNanos + SWITCH_NANOS;
		long newerActive = active + this.wholeFetchNanos + SWITCH_NANOS;
		return Math.max(0, Math.min(active, this.newerRequiredNanos) - this.requiredNanos)
				+ Math.max(0, newerActive - this.newerRequiredNanos);
	}

	private long gapWhenAbandoned() {
		return Math.max(0, this.wholeFetchNanos + SWITCH_NANOS - this.requiredNanos);
	}

}
