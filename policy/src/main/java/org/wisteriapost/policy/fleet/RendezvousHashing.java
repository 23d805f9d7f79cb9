package org.wisteriapost.policy.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Rendezvous hashing: ranks names for a key, so that all processes that know the same
 * names agree on the ranking without communication. Adding or removing a name does not
 * change the order of the others, and different keys rank the same names differently,
 * which distributes the load.
 */
public final class RendezvousHashing {

	private RendezvousHashing() {
	}

	/**
	 * Returns the names by their rank for a key, the first first.
	 */
	public static List<String> rank(Collection<String> names, String key) {
		return names.stream()
			.sorted(Comparator.comparingLong((String name) -> weight(name, key))
				.thenComparing(Comparator.naturalOrder()))
			.toList();
	}

	/**
	 * Returns whether a name ranks among the first for a key.
	 * @param name ranked with the names, whether or not they contain it
	 * @param limit how many names count as the first
	 */
	public static boolean isAmongFirst(String name, Collection<String> names, String key, int limit) {
		long own = weight(name, key);
		long preceding = names.stream().filter((other) -> !other.equals(name)).filter((other) -> {
			long weight = weight(other, key);
			return weight < own || (weight == own && other.compareTo(name) < 0);
		}).count();
		return preceding < limit;
	}

	private static long weight(String name, String key) {
		return Hashing.komihash5_0().hashCharsToLong(key + "\n" + name);
	}

}
