package org.wisteriapost.standin.sim.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The worth and the requests that were served, by a property of the requests.
 *
 * @param <K> the property
 */
final class ServedShares<K extends Comparable<K>> {

	private final Map<K, Count> counts = new TreeMap<>();

	void recordRequest(K key, double worth) {
		Count count = count(key);
		count.requests++;
		count.owed += worth;
	}

	void recordAnswer(K key, double earned) {
		Count count = count(key);
		count.answered++;
		count.earned += earned;
	}

	private Count count(K key) {
		return this.counts.computeIfAbsent(key, (any) -> new Count());
	}

	/**
	 * Returns the earned share of the worth.
	 */
	Map<K, Double> earned() {
		return shares((count) -> count.earned / count.owed);
	}

	/**
	 * Returns the answered share of the requests.
	 */
	Map<K, Double> answered() {
		return shares((count) -> (double) count.answered / count.requests);
	}

	private Map<K, Double> shares(Function<Count, Double> share) {
		return this.counts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().requests > 0)
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> share.apply(entry.getValue()), (one, other) -> one,
					TreeMap::new));
	}

	/** The requests with the same property. */
	private static final class Count {

		private int requests;

		private int answered;

		private double owed;

		private double earned;

	}

}
