package org.wisteriapost.policy.region;

import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.fleet.EntryInfo;

/**
 * Selects the entries that callers of a host with restricted routes are directed to.
 *
 * A request that arrives outside its allowed regions crosses to another region twice,
 * once in each direction, and passes through an entry there. The caller's own region is
 * always acceptable, since the request comes from there.
 */
public final class RegionalEntries {

	private RegionalEntries() {
	}

	/**
	 * Returns the entries in the allowed regions or in the caller's own. If there is
	 * none, returns all: an entry elsewhere still sends the request only to allowed
	 * runners, whereas without any entry the caller could send nothing.
	 * @param ready all entries that accept callers
	 * @param allowed the regions that all routes of the host allow
	 */
	public static List<EntryInfo> select(List<EntryInfo> ready, AllowedRegions allowed, DirectoryQuery query) {
		if (!allowed.restricted()) {
			return ready;
		}
		List<EntryInfo> regional = ready.stream()
			.filter((entry) -> allowed.allows(Optional.of(entry.region())) || query.isLocal(entry))
			.toList();
		return regional.isEmpty() ? ready : regional;
	}

}
