package org.wisteriapost.policy.agent;

/**
 * Limits how many runners of a service in a failure domain may switch weights at once.
 *
 * A bundle may be rolled out to every VM of a failure domain under full load. A runner
 * that switches accepts no calls, so the others carry its load. The limit is the smaller
 * of a share of the runners (a quarter by default, so that the load of the others rises
 * by at most a third) and the number that leaves the bundle's {@code minReady} runners.
 * VMs that became unresponsive during their switch are not ready either and count against
 * it.
 */
final class SwitchLimit {

	private SwitchLimit() {
	}

	/**
	 * Returns the limit, at least 0.
	 * @param vms number of live agents of the service in the failure domain
	 * @param unresponsive number of agents that became unresponsive during their switch
	 * @param minReady number of runners that must stay ready
	 * @param share maximum share of runners that switch at once
	 */
	static int of(int vms, int unresponsive, int minReady, double share) {
		if (vms <= minReady) {
			// A failure domain that never has more than minReady runners would
			// otherwise stay on the old weights forever; one switch at a time does the
			// least harm.
			return 1;
		}
		int byShare = Math.max(1, (int) Math.floor(vms * share));
		return Math.max(0, Math.min(byShare, vms - unresponsive - minReady));
	}

}
