package org.wisteriapost.policy.region;

import java.util.Optional;

import org.wisteriapost.policy.fleet.EntryInfo;

/**
 * A caller's question which entries to use.
 *
 * @param host the host of its requests, lower-case, without a port, if given
 * @param region the caller's region, if given
 * @param failureDomain the caller's failure domain, if given
 */
public record DirectoryQuery(Optional<String> host, Optional<String> region, Optional<String> failureDomain) {

	/**
	 * Returns whether an entry is in the caller's region.
	 */
	boolean isLocal(EntryInfo entry) {
		return this.region.filter(entry.region()::equals).isPresent()
				|| this.failureDomain.filter(entry.failureDomain()::equals).isPresent();
	}

}
