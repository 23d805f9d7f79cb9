package org.wisteriapost.policy.dispatch;

/**
 * Number of entries that send requests to the same runners.
 *
 * @param all all entries, including this one
 * @param near entries in the failure domain of this entry, including this one
 * @param byPlace whether callers are directed only to entries in their own failure domain
 */
public record EntryCount(int all, int near, boolean byPlace) {

	public EntryCount {
		all = Math.max(1, all);
		near = Math.clamp(near, 1, all);
	}

	/**
	 * Returns a count for entries that serve callers from every failure domain.
	 */
	public static EntryCount flat(int all) {
		return new EntryCount(all, all, false);
	}

	/**
	 * Returns the number of entries that are expected to send requests to the runners of
	 * a failure domain. When callers are directed to entries in their own failure domain,
	 * its runners serve the local entries and, as overflow, an equal number of remote
	 * ones.
	 * @param failureDomain the failure domain of the runners
	 * @param ownFailureDomain the failure domain of this entry
	 */
	int sendersTo(String failureDomain, String ownFailureDomain) {
		if (!this.byPlace) {
			return this.all;
		}
		return failureDomain.equals(ownFailureDomain) ? this.near : Math.min(this.all, 2 * this.near);
	}

}
