package org.wisteriapost.policy.dispatch;

/**
 * Number of entries that send requests to the same runners.
 *
 * @param total all entries, including this one
 * @param inFailureDomain entries in the failure domain of this entry, including this one
 * @param partitioned whether callers are directed only to entries in their own failure
 * domain
 */
public record EntryCount(int total, int inFailureDomain, boolean partitioned) {

	public EntryCount {
		total = Math.max(1, total);
		inFailureDomain = Math.clamp(inFailureDomain, 1, total);
	}

	/**
	 * Returns a count for entries that serve callers from every failure domain.
	 */
	public static EntryCount unpartitioned(int all) {
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
		if (!this.partitioned) {
			return this.total;
		}
		return failureDomain.equals(ownFailureDomain) ? this.inFailureDomain
				: Math.min(this.total, 2 * this.inFailureDomain);
	}

}
