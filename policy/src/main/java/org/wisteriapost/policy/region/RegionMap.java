package org.wisteriapost.policy.region;

import java.util.Map;
import java.util.Optional;

/**
 * The region of each failure domain of a site.
 *
 * @param byFailureDomain regions by failure domain
 */
public record RegionMap(Map<String, String> byFailureDomain) {

	/** No region is known. */
	public static final RegionMap NONE = new RegionMap(Map.of());

	public RegionMap {
		byFailureDomain = Map.copyOf(byFailureDomain);
	}

	/**
	 * Returns the region of a failure domain, if known.
	 */
	public Optional<String> regionOf(String failureDomain) {
		return Optional.ofNullable(this.byFailureDomain.get(failureDomain));
	}

}
