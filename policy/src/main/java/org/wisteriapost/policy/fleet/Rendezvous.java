package org.wisteriapost.policy.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Orders names for a purpose so that all who know the same names agree, without asking
 * each other. A name that comes or goes changes the order of no others, and different
 * purposes order the same names differently, which spreads duties.
 */
public final class Rendezvous {

	private Rendezvous() {
	}

	/**
	 * Returns the names, the first for the purpose first.
	 */
	public static List<String> order(Collection<String> names, String purpose) {
		return names.stream()
			.sorted(Comparator.comparingLong((String name) -> weight(name, purpose))
				.thenComparing(Comparator.naturalOrder()))
			.toList();
	}

	/**
	 * Returns whether a name is among the first of those given for a purpose.
	 * @param name counts among the names also when it is not given
	 * @param most how many there are to be
	 */
	public static boolean among(String name, Collection<String> names, String purpose, int most) {
		long own = weight(name, purpose);
		long before = names.stream().filter((other) -> !other.equals(name)).filter((other) -> {
			long weight = weight(other, purpose);
			return weight < own || (weight == own && other.compareTo(name) < 0);
		}).count();
		return before < most;
	}

	private static long weight(String name, String purpose) {
		return Hashing.komihash5_0().hashCharsToLong(purpose + "\n" + name);
	}

}
