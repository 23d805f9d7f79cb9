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

	/**
	 * Returns whether a restriction allows a failure domain. One without a known region
	 * is outside every allowed region.
	 */
	public boolean permits(AllowedRegions allowed, String failureDomain) {
		return !allowed.restricted() || allowed.allows(regionOf(failureDomain));
	}

}
