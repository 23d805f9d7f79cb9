package org.wisteriapost.policy.fleet;

/**
 * Another entry to which there is a link.
 *
 * @param name the VM's name
 * @param distance how far away it is
 */
public record LinkedEntry(String name, Distance distance) {

	/**
	 * Returns another entry as one entry sees it.
	 */
	public static LinkedEntry of(EntryInfo self, EntryInfo other) {
		if (!other.region().equals(self.region())) {
			return new LinkedEntry(other.name(), Distance.ELSEWHERE);
		}
		return new LinkedEntry(other.name(),
				other.place().equals(self.place()) ? Distance.OWN_PLACE : Distance.OWN_REGION);
	}

	/**
	 * Returns an entry of which no more than the name is known.
	 */
	public static LinkedEntry unknown(String name) {
		return new LinkedEntry(name, Distance.ELSEWHERE);
	}

	/** How far away an entry is, the nearest first. */
	public enum Distance {

		/** In the same failure domain. */
		OWN_PLACE,
		/** In another failure domain of the same region. */
		OWN_REGION,
		/** In another region, or not known where. */
		ELSEWHERE

	}

}
