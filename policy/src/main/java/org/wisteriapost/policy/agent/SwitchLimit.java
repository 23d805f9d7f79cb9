package org.wisteriapost.policy.agent;

/**
 * Returns how many runners of a service in a place may be switching at once.
 *
 * Made for a roll to every VM of a place under full traffic. A runner that switches takes
 * no calls, so the others carry its share: the limit is the smaller of a share of the
 * place (a quarter by default, so that the others' load rises by a third at most) and
 * what leaves the bundle's {@code minReady}. VMs that began to switch and went silent are
 * not ready either and count against it.
 */
final class SwitchLimit {

	private SwitchLimit() {
	}

	/**
	 * Returns the limit, at least 0.
	 * @param vms live agents of the service in the place
	 * @param lost of these, began to switch and have shown no sign since
	 */
	static int of(int vms, int lost, int minReady, double share) {
		if (vms <= minReady) {
			// A place that never has more than minReady runners could not be switched at
			// all, and would stay on old weights for good; one at a time is the least
			// harm.
			return 1;
		}
		int byShare = Math.max(1, (int) Math.floor(vms * share));
		return Math.max(0, Math.min(byShare, vms - lost - minReady));
	}

}
