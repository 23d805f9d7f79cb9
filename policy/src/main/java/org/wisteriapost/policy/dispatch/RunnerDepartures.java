package org.wisteriapost.policy.dispatch;

import java.time.Duration;

import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Records which runners are leaving, gone or want no requests for a time, from the store
 * and from the runners' answers.
 */
public final class RunnerDepartures {

	private final RunnerRegistry registry;

	RunnerDepartures(RunnerRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Records that the registration of a runner was removed.
	 */
	public void registrationRemoved(String id, long nowNanos) {
		this.registry.registrationRemoved(id, nowNanos);
	}

	/**
	 * Removes a runner whose registration no longer describes a usable runner.
	 */
	public void registrationUnusable(String id) {
		this.registry.removeUnusable(id);
	}

	/**
	 * Records whether the site's store is reachable. Registrations that are removed while
	 * it is not may be restored.
	 */
	public void storeReachable(boolean reachable, long nowNanos) {
		this.registry.updateStoreReachable(reachable, nowNanos);
	}

	/**
	 * Records that the site's store was restored from a copy. What runners have written
	 * since is missing until they write it again.
	 */
	public void storeRestored(long nowNanos) {
		this.registry.storeRestored(nowNanos);
	}

	/**
	 * Records that a runner stated in an answer that it is leaving, and returns whether
	 * that was unknown. It holds until the runner's next incarnation, whatever its
	 * registration says: the store may be unable to accept the runner's report.
	 * @param runner the incarnation that answered
	 */
	public boolean leavingStated(RunnerInfo runner) {
		return this.registry.find(runner).map(RunnerState::markLeaving).orElse(false);
	}

	/**
	 * Records that a runner turned a request away and wants no others for a time.
	 * @param runner the incarnation that answered
	 */
	public void restStated(RunnerInfo runner, Duration rest, long nowNanos) {
		this.registry.find(runner).ifPresent((state) -> state.rest.stated(rest, nowNanos));
	}

}
