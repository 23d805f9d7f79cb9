package org.wisteriapost.policy.rollout;

import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * Records since when each version that the engine does not hold yet has been a target.
 *
 * The oldest pending version determines when the engine must switch: even when a newer
 * version is fetched first, the engine may serve its current weights only until the
 * oldest one becomes active.
 */
final class PendingVersions {

	private final TreeMap<Integer, Long> targetSince = new TreeMap<>();

	void add(int version, long nowNanos) {
		this.targetSince.put(version, nowNanos);
	}

	/**
	 * Removes the versions up to the one that the engine holds.
	 */
	void removeUpTo(OptionalInt heldVersion) {
		heldVersion.ifPresent((known) -> this.targetSince.headMap(known, true).clear());
	}

	/**
	 * Returns when a version became the target.
	 * @param otherwise returned when the version is not pending
	 */
	long sinceNanos(int version, long otherwise) {
		return this.targetSince.getOrDefault(version, otherwise);
	}

	/**
	 * Returns when the oldest pending version became the target.
	 * @param otherwise returned when no version is pending
	 */
	long oldestNanos(long otherwise) {
		Map.Entry<Integer, Long> first = this.targetSince.firstEntry();
		return (first != null) ? first.getValue() : otherwise;
	}

}
