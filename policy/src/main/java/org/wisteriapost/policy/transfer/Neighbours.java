package org.wisteriapost.policy.transfer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Which peers a VM makes links to.
 *
 * Made for 810 VMs that start within seconds of each other: links to all of them would be
 * 656,100 and their announcements would exceed the 6 KB a second that control may cost.
 * All VMs stand on one ring, ordered by the hash of their names, and again on one for
 * each place. A VM links to those at distances 1, 2, 4, … in both directions, half of
 * them on the place's ring: every VM has as many links in as out, a piece reaches all
 * within a few steps, and a lost place takes no more than its own part.
 */
final class Neighbours {

	private static final Comparator<Peer> BY_HASH = Comparator.comparingLong((Peer peer) -> hash(peer.vm()))
		.thenComparing(Peer::vm);

	private Neighbours() {
	}

	/**
	 * Returns the peers to link to, at most the limit.
	 */
	static Set<String> choose(Peer self, Collection<Peer> peers, TransferLimits limits) {
		List<Peer> all = ring(self, peers);
		Set<String> chosen = new LinkedHashSet<>();
		switch (limits.design()) {
			case NAIVE -> {
			}
			case CHAIN -> before(self, all, chosen);
			case SWARM -> {
				List<Peer> near = all.stream().filter((peer) -> peer.place().equals(self.place())).toList();
				around(self, near, limits.neighbours() / 2, chosen);
				around(self, all, limits.neighbours(), chosen);
			}
		}
		return chosen;
	}

	/**
	 * Returns all VMs in the ring's order.
	 */
	static List<Peer> ring(Peer self, Collection<Peer> peers) {
		List<Peer> all = new ArrayList<>(peers);
		all.add(self);
		all.sort(BY_HASH);
		return all;
	}

	private static void before(Peer self, List<Peer> ring, Set<String> chosen) {
		int at = ring.indexOf(self);
		if (at > 0) {
			chosen.add(ring.get(at - 1).vm());
		}
	}

	private static void around(Peer self, List<Peer> ring, int limit, Set<String> chosen) {
		int size = ring.size();
		int at = ring.indexOf(self);
		if (size - 1 <= limit - chosen.size()) {
			ring.stream().filter((peer) -> !peer.equals(self)).map(Peer::vm).forEach(chosen::add);
			return;
		}
		for (int distance = 1; distance < size && chosen.size() < limit; distance *= 2) {
			chosen.add(ring.get(Math.floorMod(at + distance, size)).vm());
			if (chosen.size() < limit) {
				chosen.add(ring.get(Math.floorMod(at - distance, size)).vm());
			}
		}
		for (int distance = 3; distance < size && chosen.size() < limit; distance++) {
			chosen.add(ring.get(Math.floorMod(at + distance, size)).vm());
		}
		chosen.remove(self.vm());
	}

	private static long hash(String vm) {
		return Hashing.komihash5_0().hashCharsToLong(vm);
	}

}
