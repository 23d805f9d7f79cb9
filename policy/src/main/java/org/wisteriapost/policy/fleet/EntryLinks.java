package org.wisteriapost.policy.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the other entries to which an entry links.
 *
 * A site has dozens to thousands of entries in several failure domains. Each link costs
 * both ends a heartbeat a second, so a full mesh costs the square of the number of
 * entries, most of all on the narrow links between failure domains. Up to
 * {@value #MAX_FULL_MESH_ENTRIES} entries form a full mesh. Beyond that an entry links to
 * all entries of its own failure domain, with which it shares callers and engines, and to
 * {@value #LINKS_PER_REMOTE_FAILURE_DOMAIN} entries of each other failure domain.
 */
public final class EntryLinks {

	// 16 entries have 240 links: for each entry 10 heartbeats a second from and to other
	// failure domains, about the traffic of one answer.
	static final int MAX_FULL_MESH_ENTRIES = 16;

	// One forwards state updates, the other replaces it when it is lost.
	static final int LINKS_PER_REMOTE_FAILURE_DOMAIN = 2;

	private EntryLinks() {
	}

	/**
	 * Returns whether the fleet is so large that links and state updates are kept within
	 * failure domains.
	 * @param entryCount the number of entries, this one included
	 */
	public static boolean scopedByFailureDomain(int entryCount) {
		return entryCount > MAX_FULL_MESH_ENTRIES;
	}

	/**
	 * Returns the entries to link to.
	 * @param others the other registered entries
	 */
	public static List<EntryInfo> select(EntryInfo self, Collection<EntryInfo> others) {
		if (!scopedByFailureDomain(others.size() + 1)) {
			return List.copyOf(others);
		}
		List<EntryInfo> chosen = new ArrayList<>();
		Map<String, Map<String, EntryInfo>> remote = new LinkedHashMap<>();
		for (EntryInfo other : others) {
			if (other.failureDomain().equals(self.failureDomain())) {
				chosen.add(other);
			}
			else {
				remote.computeIfAbsent(other.failureDomain(), (domain) -> new LinkedHashMap<>())
					.put(other.name(), other);
			}
		}
		remote.values()
			.forEach((entries) -> RendezvousHashing.rank(entries.keySet(), self.name())
				.stream()
				.limit(LINKS_PER_REMOTE_FAILURE_DOMAIN)
				.forEach((name) -> chosen.add(entries.get(name))));
		return chosen;
	}

}
