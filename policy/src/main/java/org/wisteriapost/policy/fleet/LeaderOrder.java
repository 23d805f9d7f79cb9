package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The order in which the entries of a group become leader, by rendezvous hashing. It is
 * the same for all entries of the group, except for the peers that each one suspects to
 * have failed.
 */
final class LeaderOrder {

	// A failed leader is not asked again for longer than a restart takes.
	private static final long SUSPICION_NANOS = Duration.ofSeconds(10).toNanos();

	private static final String RENDEZVOUS_KEY = "store";

	private final String self;

	private final Map<String, Long> suspectedUntilNanos = new HashMap<>();

	LeaderOrder(String self) {
		this.self = self;
	}

	/**
	 * Excludes a peer that has failed this entry as leader, for a while.
	 */
	void suspect(String peer, long nowNanos) {
		this.suspectedUntilNanos.put(peer, nowNanos + SUSPICION_NANOS);
	}

	/**
	 * Returns the leader to follow; empty when this entry is to be leader.
	 */
	Optional<String> leader(Collection<String> group, long nowNanos) {
		return Optional.of(candidates(group, nowNanos).getFirst()).filter((first) -> !first.equals(this.self));
	}

	/**
	 * Returns the candidates that precede this entry.
	 */
	List<String> candidatesBefore(Collection<String> group, long nowNanos) {
		return candidates(group, nowNanos).stream().takeWhile((name) -> !name.equals(this.self)).toList();
	}

	/**
	 * Returns this entry and the peers that are not suspected, the leader first.
	 */
	List<String> candidates(Collection<String> group, long nowNanos) {
		this.suspectedUntilNanos.values().removeIf((until) -> nowNanos >= until);
		List<String> names = new ArrayList<>(group);
		names.removeAll(this.suspectedUntilNanos.keySet());
		names.add(this.self);
		return RendezvousHashing.rank(names, RENDEZVOUS_KEY);
	}

}
