package org.wisteriapost.policy.transfer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

class PeerSelectionTests {

	private static final TransferLimits LIMITS = TransferLimits.standard();

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 12, 48, 810 })
	void connectionsAreBoundedAndReachEveryVm(int size) {
		List<Peer> all = fleet(size);
		Map<String, Set<String>> chosen = new HashMap<>();
		for (Peer self : all) {
			Set<String> links = PeerSelection.choose(self, without(all, self), LIMITS);
			assertThat(links.size(), is(lessThanOrEqualTo(LIMITS.maxPeers())));
			assertThat(links, not(hasItem(self.vm())));
			chosen.put(self.vm(), links);
		}
		assertThat(reached(all.getFirst().vm(), chosen).size(), is(size));
	}

	@Test
	void smallFleetIsAFullMesh() {
		List<Peer> all = fleet(LIMITS.maxPeers() + 1);
		Peer self = all.getFirst();
		assertThat(PeerSelection.choose(self, without(all, self), LIMITS).size(), is(LIMITS.maxPeers()));
	}

	@Test
	void eachChunkHasExactlyOneVmRankedFirst() {
		List<Peer> all = fleet(20);
		ChunkIndex chunks = ChunkIndex.of(List.of(Weights.file("model", "a", "b", "c", "d", "e", "f", "g", "h")));
		int[] firsts = new int[chunks.count()];
		for (Peer self : all) {
			RendezvousRanking rank = new RendezvousRanking(chunks, self);
			rank.update(without(all, self), Set.of(), TransferLimits.Distribution.SWARM);
			for (int chunk = 0; chunk < firsts.length; chunk++) {
				firsts[chunk] += (rank.rankOf(chunk) == 0) ? 1 : 0;
			}
		}
		assertThat(firsts, is(new int[] { 1, 1, 1, 1, 1, 1, 1, 1 }));
	}

	@Test
	void failingVmIsReplacedByTheNextInRank() {
		List<Peer> all = fleet(2);
		ChunkIndex chunks = ChunkIndex.of(List.of(Weights.file("model", "a", "b", "c", "d", "e", "f", "g", "h")));
		RendezvousRanking rank = new RendezvousRanking(chunks, all.get(0));
		rank.update(List.of(all.get(1)), Set.of(all.get(1).vm()), TransferLimits.Distribution.SWARM);
		for (int chunk = 0; chunk < chunks.count(); chunk++) {
			assertThat(rank.rankOf(chunk), is(0));
		}
	}

	private static Set<String> reached(String from, Map<String, Set<String>> links) {
		Set<String> visited = new HashSet<>(Set.of(from));
		Deque<String> queue = new ArrayDeque<>(visited);
		while (!queue.isEmpty()) {
			for (String next : links.get(queue.poll())) {
				if (visited.add(next)) {
					queue.add(next);
				}
			}
		}
		return visited;
	}

	private static List<Peer> fleet(int size) {
		List<Peer> all = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			all.add(new Peer("vm-" + i, "place-" + i % 10));
		}
		return all;
	}

	private static List<Peer> without(List<Peer> all, Peer self) {
		return all.stream().filter((peer) -> !peer.equals(self)).toList();
	}

}
