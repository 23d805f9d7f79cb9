package org.wisteriapost.policy.rollout;

import java.time.Duration;

/**
 * Decides whether a fetch goes on after a newer version has become the target.
 *
 * At that moment the fetch is finished if it is more than half done, or if another full
 * fetch would end after the older version becomes active. Otherwise, with versions
 * published faster than links can carry them, agents would restart forever and no engine
 * could serve an active version.
 *
 * A stall changes the time that is left. When chunks arrive again,
 * {@link SupersededFetch} decides anew, at most once until a version has been fetched.
 */
final class SupersededFetchPolicy {

	// From this share on, a fetch is finished even if a newer version is published.
	private static final double FINISH_SHARE = 0.5;

	// Before this, progress does not allow an estimate of the total duration.
	private static final Duration MIN_OBSERVATION = Duration.ofSeconds(1);

	private final SwitchPlan plan;

	private final Duration activation;

	private boolean abandoned;

	/**
	 * Creates the policy of one engine.
	 * @param activation time from the publication of a target version until no request
	 * may start on older ones
	 */
	SupersededFetchPolicy(SwitchPlan plan, Duration activation) {
		this.plan = plan;
		this.activation = activation;
	}

	/**
	 * Returns whether to finish the fetch when a newer version has become the target.
	 */
	boolean finishes(FetchProgress progress, long fetchStartNanos, long nowNanos) {
		if (progress.share() > FINISH_SHARE) {
			return true;
		}
		return progress.elapsedNanos(nowNanos) >= MIN_OBSERVATION.toNanos()
				&& nowNanos + progress.wholeFetchNanos(nowNanos) > this.plan.latestNanos(fetchStartNanos);
	}

	/**
	 * Returns whether to abandon the fetch when chunks arrive again after a stall.
	 */
	boolean abandonsResumed(FetchProgress progress, int version, int newer, long nowNanos) {
		if (this.abandoned) {
			return false;
		}
		long targetNanos = this.plan.targetNanos(version, nowNanos);
		long newerTargetNanos = this.plan.targetNanos(newer, nowNanos);
		this.abandoned = SupersededFetch.of(progress, targetNanos, newerTargetNanos, this.activation, nowNanos)
			.betterAbandoned();
		return this.abandoned;
	}

	/**
	 * Records that a version has been fetched.
	 */
	void fetched() {
		this.abandoned = false;
	}

}
