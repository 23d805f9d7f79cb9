package org.wisteriapost.policy.fleet;

/**
 * Another entry, to which this entry has a link.
 *
 * @param name the VM's name
 * @param distance its network distance
 */
public record LinkedEntry(String name, Distance distance) {

	/**
	 * Returns a linked entry with its distance from {@code self}.
	 */
	public static LinkedEntry of(EntryInfo self, EntryInfo other) {
		if (!other.region().equals(self.region())) {
			return new LinkedEntry(other.name(), Distance.REMOTE);
		}
		return new LinkedEntry(other.name(), other.failureDomain().equals(self.failureDomain())
				? Distance.SAME_FAILURE_DOMAIN : Distance.SAME_REGION);
	}

	/**
	 * Returns a linked entry whose location is unknown.
	 */
	public static LinkedEntry unknown(String name) {
		return new LinkedEntry(name, Distance.REMOTE);
	}

	/** The network distance of an entry, the nearest first. */
	public enum Distance {

		/** In the same failure domain. */
		SAME_FAILURE_DOMAIN,
		/** In another failure domain of the same region. */
		SAME_REGION,
		/** In another region, or at an unknown location. */
		REMOTE

	}

}
