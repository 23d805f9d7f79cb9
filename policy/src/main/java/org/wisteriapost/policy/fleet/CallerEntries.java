package org.wisteriapost.policy.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Which entries a caller is told of.
 *
 * Load: callers in all places, links between places that carry some thousand streams.
 * Harm prevented: a caller that takes an entry of another place at random has its whole
 * answer cross that link, twice when an engine of its own place answers. Entries of the
 * caller's place are enough while there are {@value #LEAST_NEAR} of them: one that is
 * killed leaves two, and what they cannot place near by they send to engines elsewhere.
 */
public final class CallerEntries {

	static final int LEAST_NEAR = 3;

	private CallerEntries() {
	}

	/**
	 * Returns the entries to name.
	 * @param ready all that can be named
	 * @param place the caller's, when it tells
	 * @param byPlace whether the fleet is so large that places keep to themselves
	 */
	public static List<EntryInfo> choose(Collection<EntryInfo> ready, Optional<String> place, boolean byPlace) {
		List<EntryInfo> near = ready.stream().filter((info) -> place.equals(Optional.of(info.place()))).toList();
		return (byPlace && near.size() >= LEAST_NEAR) ? near : List.copyOf(ready);
	}

}
