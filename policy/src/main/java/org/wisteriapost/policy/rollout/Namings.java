package org.wisteriapost.policy.rollout;

import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * When each version that an engine does not hold yet was named.
 *
 * Of several the oldest counts for the engine's turn: when a newer version goes ahead of
 * it, the engine may answer until the older one binds, and no longer.
 */
final class Namings {

	private final TreeMap<Integer, Long> nanos = new TreeMap<>();

	void named(int version, long nowNanos) {
		this.nanos.put(version, nowNanos);
	}

	/**
	 * Hears which version the engine holds.
	 */
	void held(OptionalInt version) {
		version.ifPresent((known) -> this.nanos.headMap(known, true).clear());
	}

	/**
	 * Returns when the oldest version that the engine does not hold was named.
	 * @param otherwise when it holds all
	 */
	long oldest(long otherwise) {
		Map.Entry<Integer, Long> first = this.nanos.firstEntry();
		return (first != null) ? first.getValue() : otherwise;
	}

}
