package org.wisteriapost.policy.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which other entries an entry links to.
 *
 * Load: dozens to thousands of entries in several places, each of which would link to
 * all. Harm prevented: each link costs both ends a heartbeat a second, so the cost of
 * being there grows with the square of the entries, on the narrow links between places
 * most of all. Up to {@value #MOST_FLAT} entries all pairs are linked. Beyond that an
 * entry links to all of its own place, which callers are told of and with which it shares
 * engines, and to {@value #PER_OTHER_PLACE} of each other place.
 */
public final class EntryLinks {

	// 16 entries have 240 links, which is 10 heartbeats a second for each of them from
	// and to other places: as much as one answer.
	static final int MOST_FLAT = 16;

	// One to pass news on and one beside it when that is lost.
	static final int PER_OTHER_PLACE = 2;

	private EntryLinks() {
	}

	/**
	 * Returns whether there are so many entries that what concerns one place stays there.
	 * @param entries all of them, this one included
	 */
	public static boolean byPlace(int entries) {
		return entries > MOST_FLAT;
	}

	/**
	 * Returns the entries to link to.
	 * @param others the other registered entries
	 */
	public static List<EntryInfo> choose(EntryInfo self, Collection<EntryInfo> others) {
		if (!byPlace(others.size() + 1)) {
			return List.copyOf(others);
		}
		List<EntryInfo> chosen = new ArrayList<>();
		Map<String, Map<String, EntryInfo>> places = new LinkedHashMap<>();
		for (EntryInfo other : others) {
			if (other.place().equals(self.place())) {
				chosen.add(other);
			}
			else {
				places.computeIfAbsent(other.place(), (place) -> new LinkedHashMap<>()).put(other.name(), other);
			}
		}
		places.values()
			.forEach((there) -> Rendezvous.order(there.keySet(), self.name())
				.stream()
				.limit(PER_OTHER_PLACE)
				.forEach((name) -> chosen.add(there.get(name))));
		return chosen;
	}

}
