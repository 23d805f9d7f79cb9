package org.wisteriapost.policy.region;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The regions in which requests may be handled, as a route or an organisation declares
 * them.
 *
 * @param names the allowed regions; empty if every region is allowed
 */
public record AllowedRegions(Optional<Set<String>> names) {

	/** No restriction. */
	public static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

	public AllowedRegions {
		names = names.map(Set::copyOf);
	}

	/**
	 * Returns the restriction that a list declares. An empty list declares none.
	 */
	public static AllowedRegions declared(Collection<String> names) {
		return names.isEmpty() ? ANY : new AllowedRegions(Optional.of(Set.copyOf(names)));
	}

	/**
	 * Returns the regions that both restrictions allow, which may be none.
	 */
	public AllowedRegions and(AllowedRegions other) {
		if (this.names.isEmpty() || other.names.isEmpty()) {
			return this.names.isEmpty() ? other : this;
		}
		Set<String> common = new HashSet<>(this.names.get());
		common.retainAll(other.names.get());
		return new AllowedRegions(Optional.of(common));
	}

	/**
	 * Returns whether a region is allowed.
	 * @param region empty if the region is unknown, which only an absent restriction
	 * allows
	 */
	public boolean allows(Optional<String> region) {
		return this.names.isEmpty() || region.filter(this.names.get()::contains).isPresent();
	}

	/**
	 * Returns whether some regions are not allowed.
	 */
	public boolean restricted() {
		return this.names.isPresent();
	}

	/**
	 * Returns the names in alphabetical order, separated by spaces; empty if no region is
	 * allowed.
	 */
	public String describe() {
		return this.names.map((regions) -> String.join(" ", new TreeSet<>(regions))).orElse("any");
	}

}
