package org.wisteriapost.policy.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Selects the entries that are advertised to a caller.
 *
 * Links between failure domains carry some thousand streams. A caller that used a random
 * entry of another failure domain would send its whole answer across such a link, and
 * twice when an engine of the caller's own failure domain answers. So a caller gets the
 * entries of its own failure domain if there are at least {@value #MIN_LOCAL_ENTRIES}:
 * after the loss of one, two remain, and these forward requests to engines elsewhere when
 * the local ones have no free capacity.
 */
public final class AdvertisedEntries {

	static final int MIN_LOCAL_ENTRIES = 3;

	private AdvertisedEntries() {
	}

	/**
	 * Returns the entries to advertise.
	 * @param ready all entries that accept callers
	 * @param failureDomain the caller's failure domain, if it sent one
	 * @param scopedByFailureDomain whether the fleet is so large that traffic is kept
	 * within failure domains
	 */
	public static List<EntryInfo> select(Collection<EntryInfo> ready, Optional<String> failureDomain,
			boolean scopedByFailureDomain) {
		List<EntryInfo> local = ready.stream()
			.filter((info) -> failureDomain.equals(Optional.of(info.failureDomain())))
			.toList();
		return (scopedByFailureDomain && local.size() >= MIN_LOCAL_ENTRIES) ? local : List.copyOf(ready);
	}

}
