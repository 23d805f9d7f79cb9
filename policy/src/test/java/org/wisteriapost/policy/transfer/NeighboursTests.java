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

class NeighboursTests {

	private static final TransferLimits LIMITS = TransferLimits.standard();

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 12, 48, 810 })
	void linksAreBoundedAndEveryVmIsReached(int size) {
		List<Peer> all = fleet(size);
		Map<String, Set<String>> chosen = new HashMap<>();
		for (Peer self : all) {
			Set<String> links = Neighbours.choose(self, without(all, self), LIMITS);
			assertThat(links.size(), is(lessThanOrEqualTo(LIMITS.neighbours())));
			assertThat(links, not(hasItem(self.vm())));
			chosen.put(self.vm(), links);
		}
		assertThat(reached(all.getFirst().vm(), chosen).size(), is(size));
	}

	@Test
	void smallFleetIsAFullMesh() {
		List<Peer> all = fleet(LIMITS.neighbours() + 1);
		Peer self = all.getFirst();
		assertThat(Neighbours.choose(self, without(all, self), LIMITS).size(), is(LIMITS.neighbours()));
	}

	@Test
	void eachPieceHasExactlyOneFirstReader() {
		List<Peer> all = fleet(20);
		Pieces pieces = Pieces.of(List.of(Weights.file("model", "a", "b", "c", "d", "e", "f", "g", "h")));
		int[] firsts = new int[pieces.count()];
		for (Peer self : all) {
			OriginRank rank = new OriginRank(pieces, self);
			rank.update(without(all, self), Set.of(), TransferLimits.Design.SWARM);
			for (int piece = 0; piece < firsts.length; piece++) {
				firsts[piece] += (rank.of(piece) == 0) ? 1 : 0;
			}
		}
		assertThat(firsts, is(new int[] { 1, 1, 1, 1, 1, 1, 1, 1 }));
	}

	@Test
	void failingReaderIsReplacedByTheNextInRank() {
		List<Peer> all = fleet(2);
		Pieces pieces = Pieces.of(List.of(Weights.file("model", "a", "b", "c", "d", "e", "f", "g", "h")));
		OriginRank rank = new OriginRank(pieces, all.get(0));
		rank.update(List.of(all.get(1)), Set.of(all.get(1).vm()), TransferLimits.Design.SWARM);
		for (int piece = 0; piece < pieces.count(); piece++) {
			assertThat(rank.of(piece), is(0));
		}
	}

	private static Set<String> reached(String from, Map<String, Set<String>> links) {
		Set<String> seen = new HashSet<>(Set.of(from));
		Deque<String> open = new ArrayDeque<>(seen);
		while (!open.isEmpty()) {
			for (String next : links.get(open.poll())) {
				if (seen.add(next)) {
					open.add(next);
				}
			}
		}
		return seen;
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
