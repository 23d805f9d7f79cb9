package org.wisteriapost.policy.transfer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Selects the peers that a VM connects to.
 *
 * In a fleet of 810 VMs that start within seconds of each other, a full mesh would be
 * 656,100 connections, and the announcements over them would exceed the 6 KB/s budget for
 * control traffic. Instead all VMs are ordered by the hash of their names on one ring,
 * and again on a ring for each failure domain. A VM connects to those at distances 1, 2,
 * 4, … in both directions, half of them on its failure domain's ring. Thus inbound and
 * outbound connections are balanced, a chunk reaches all VMs within a few hops, and the
 * loss of a failure domain does not partition the others.
 */
final class PeerSelection {

	private static final Comparator<Peer> BY_HASH = Comparator.comparingLong((Peer peer) -> hash(peer.vm()))
		.thenComparing(Peer::vm);

	private PeerSelection() {
	}

	/**
	 * Returns the names of the peers to connect to, at most
	 * {@link TransferLimits#maxPeers()}.
	 */
	static Set<String> choose(Peer self, Collection<Peer> peers, TransferLimits limits) {
		List<Peer> all = ring(self, peers);
		Set<String> chosen = new LinkedHashSet<>();
		switch (limits.distribution()) {
			case NAIVE -> {
			}
			case CHAIN -> addPredecessor(self, all, chosen);
			case SWARM -> {
				List<Peer> sameDomain = all.stream()
					.filter((peer) -> peer.failureDomain().equals(self.failureDomain()))
					.toList();
				addByDistance(self, sameDomain, limits.maxPeers() / 2, chosen);
				addByDistance(self, all, limits.maxPeers(), chosen);
			}
		}
		return chosen;
	}

	/**
	 * Returns all VMs in ring order.
	 */
	static List<Peer> ring(Peer self, Collection<Peer> peers) {
		List<Peer> all = new ArrayList<>(peers);
		all.add(self);
		all.sort(BY_HASH);
		return all;
	}

	private static void addPredecessor(Peer self, List<Peer> ring, Set<String> chosen) {
		int position = ring.indexOf(self);
		if (position > 0) {
			chosen.add(ring.get(position - 1).vm());
		}
	}

	private static void addByDistance(Peer self, List<Peer> ring, int limit, Set<String> chosen) {
		int size = ring.size();
		int position = ring.indexOf(self);
		if (size - 1 <= limit - chosen.size()) {
			ring.stream().filter((peer) -> !peer.equals(self)).map(Peer::vm).forEach(chosen::add);
			return;
		}
		for (int distance = 1; distance < size && chosen.size() < limit; distance *= 2) {
			chosen.add(ring.get(Math.floorMod(position + distance, size)).vm());
			if (chosen.size() < limit) {
				chosen.add(ring.get(Math.floorMod(position - distance, size)).vm());
			}
		}
		for (int distance = 3; distance < size && chosen.size() < limit; distance++) {
			chosen.add(ring.get(Math.floorMod(position + distance, size)).vm());
		}
		chosen.remove(self.vm());
	}

	private static long hash(String vm) {
		return Hashing.komihash5_0().hashCharsToLong(vm);
	}

}
