package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Who of a group is to read the site's store for all, and who after it. The same for all
 * of a group but for whom each one suspects.
 */
final class ReaderOrder {

	// A reader that failed is not asked again for longer than a restart takes.
	private static final long SUSPECT_NANOS = Duration.ofSeconds(10).toNanos();

	private static final String PURPOSE = "store";

	private final String self;

	private final Map<String, Long> suspects = new HashMap<>();

	ReaderOrder(String self) {
		this.self = self;
	}

	/**
	 * Hears that an entry has failed to read for this one.
	 */
	void suspect(String peer, long nowNanos) {
		this.suspects.put(peer, nowNanos + SUSPECT_NANOS);
	}

	/**
	 * Returns whom to hear; empty when this entry is to read.
	 */
	Optional<String> wanted(Collection<String> group, long nowNanos) {
		return Optional.of(all(group, nowNanos).getFirst()).filter((first) -> !first.equals(this.self));
	}

	/**
	 * Returns those that come before this entry.
	 */
	List<String> before(Collection<String> group, long nowNanos) {
		return all(group, nowNanos).stream().takeWhile((name) -> !name.equals(this.self)).toList();
	}

	/**
	 * Returns this entry and those of the group that have not failed, the one to read
	 * first.
	 */
	List<String> all(Collection<String> group, long nowNanos) {
		this.suspects.values().removeIf((until) -> nowNanos >= until);
		List<String> candidates = new ArrayList<>(group);
		candidates.removeAll(this.suspects.keySet());
		candidates.add(this.self);
		return Rendezvous.order(candidates, PURPOSE);
	}

}
