package org.wisteriapost.policy.ratelimit;

import java.util.Map;

/**
 * The entries that may send requests to a runner: all registered ones. One that cannot be
 * reached may be alive and go on sending.
 *
 * @param failureDomain the failure domain of this entry
 * @param sizes the entries in each failure domain, including this one
 * @param scoped whether entries report their demand within failure domains only
 */
public record EntryGroup(String failureDomain, Map<String, Integer> sizes, boolean scoped) {

	/** This entry alone. */
	public static final EntryGroup SINGLE = unscoped(1);

	public EntryGroup {
		sizes = Map.copyOf(sizes);
	}

	/**
	 * Returns a group of entries that all report to each other.
	 */
	public static EntryGroup unscoped(int entries) {
		return new EntryGroup("", Map.of("", entries), false);
	}

	int total() {
		return this.sizes.values().stream().mapToInt(Integer::intValue).sum();
	}

	int in(String domain) {
		return this.sizes.getOrDefault(domain, 0);
	}

	/**
	 * Returns the number of entries that report their demand to each other.
	 */
	int reporting() {
		return this.scoped ? in(this.failureDomain) : total();
	}

}
