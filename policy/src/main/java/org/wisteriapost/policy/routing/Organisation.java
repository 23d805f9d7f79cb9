package org.wisteriapost.policy.routing;

import java.util.OptionalInt;

import org.wisteriapost.policy.region.AllowedRegions;

/**
 * An organisation that sends requests.
 *
 * @param name its name, as sent to runners
 * @param priority overrides the route's priority when present; 0 is the most urgent
 * @param allowedRegions the regions in which its requests may be handled
 */
public record Organisation(String name, OptionalInt priority, AllowedRegions allowedRegions) {

	/**
	 * Creates an organisation whose requests may be handled in every region.
	 */
	public Organisation(String name, OptionalInt priority) {
		this(name, priority, AllowedRegions.ANY);
	}

}
