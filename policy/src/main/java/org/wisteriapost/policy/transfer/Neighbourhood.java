package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The neighbours of this VM and what each is known to hold.
 */
final class Neighbourhood {

	private static final long RECONNECT_NANOS = Duration.ofMillis(500).toNanos();

	private final Peer self;

	private final TransferLimits limits;

	private final PieceChoice choice;

	private final Map<String, PeerState> neighbours = new LinkedHashMap<>();

	Neighbourhood(Peer self, TransferLimits limits, PieceChoice choice) {
		this.self = self;
		this.limits = limits;
		this.choice = choice;
	}

	Collection<PeerState> all() {
		return this.neighbours.values();
	}

	Optional<PeerState> peer(String vm) {
		return Optional.ofNullable(this.neighbours.get(vm));
	}

	/**
	 * Returns how many neighbours a piece is asked of.
	 */
	int askedOf(int piece) {
		int asked = 0;
		for (PeerState peer : this.neighbours.values()) {
			asked += peer.brings(piece) ? 1 : 0;
		}
		return asked;
	}

	/**
	 * Returns how many requests are without an answer.
	 */
	int outstanding() {
		int asked = 0;
		for (PeerState peer : this.neighbours.values()) {
			asked += peer.asks().size();
		}
		return asked;
	}

	/**
	 * Returns how many pieces are on their way, with those that wait to be gone on with.
	 */
	int begun() {
		int begun = 0;
		for (PeerState peer : this.neighbours.values()) {
			begun += peer.asks().size() + peer.begun().size();
		}
		return begun;
	}

	/**
	 * Returns how many requests were given up whose answers may still come.
	 */
	int owed(long now) {
		int owed = 0;
		for (PeerState peer : this.neighbours.values()) {
			owed += peer.owed(now);
		}
		return owed;
	}

	/**
	 * Returns the neighbours that others must not count on.
	 */
	Set<String> failing(long now) {
		Set<String> failing = new HashSet<>();
		for (PeerState peer : this.neighbours.values()) {
			if (peer.failing(now)) {
				failing.add(peer.vm());
			}
		}
		return failing;
	}

	/**
	 * Chooses neighbours among the live VMs and returns the pieces that were asked of
	 * those that are neighbours no longer.
	 * @param watched neighbours besides those of the rings
	 */
	List<Integer> meet(List<Peer> seen, Set<String> watched, long now, List<TransferEffect> effects) {
		Set<String> chosen = new LinkedHashSet<>(Neighbours.choose(this.self, seen, this.limits));
		chosen.addAll(watched);
		List<Integer> released = new ArrayList<>();
		for (PeerState peer : List.copyOf(this.neighbours.values())) {
			if (!chosen.contains(peer.vm())) {
				released.addAll(lose(peer, now));
				this.neighbours.remove(peer.vm());
				effects.add(new TransferEffect.Disconnect(peer.vm()));
			}
		}
		for (Peer peer : seen) {
			if (chosen.contains(peer.vm()) && !this.neighbours.containsKey(peer.vm())) {
				this.neighbours.put(peer.vm(), new PeerState(peer, peer.place().equals(this.self.place())));
				effects.add(new TransferEffect.Connect(peer.vm()));
			}
		}
		return released;
	}

	void greet(PeerState peer, long now) {
		peer.linkUp();
		peer.counted(peer.trustedAgain(now));
	}

	/**
	 * Marks a link as gone and returns the pieces that were asked on it.
	 */
	Set<Integer> lose(PeerState peer, long now) {
		discount(peer);
		peer.has().clear();
		Set<Integer> released = peer.release();
		peer.linkDown(now + RECONNECT_NANOS);
		return released;
	}

	/**
	 * Returns whether every neighbour has said what it holds, or cannot.
	 */
	boolean greeted() {
		return this.neighbours.values().stream().allMatch(PeerState::greeted);
	}

	/**
	 * Takes in what a neighbour holds and returns what may now be asked of it.
	 */
	BitSet learn(PeerState peer, BitSet pieces) {
		peer.busy();
		BitSet added = (BitSet) pieces.clone();
		added.andNot(peer.has());
		peer.greeted(true);
		peer.has().or(added);
		if (!peer.counted()) {
			return new BitSet();
		}
		this.choice.added(added);
		return added;
	}

	void forget(PeerState peer, int piece) {
		if (peer.counted() && peer.has().get(piece)) {
			BitSet one = new BitSet();
			one.set(piece);
			this.choice.removed(one);
		}
		peer.has().clear(piece);
	}

	/**
	 * Takes what a neighbour holds out of the count of holders.
	 */
	void discount(PeerState peer) {
		if (peer.counted()) {
			this.choice.removed(peer.has());
			peer.counted(false);
		}
	}

	void tick(long now, List<TransferEffect> effects) {
		for (PeerState peer : this.neighbours.values()) {
			if (peer.trustedAgain(now)) {
				peer.counted(true);
				this.choice.added(peer.has());
			}
			if (peer.retryDue(now)) {
				peer.linkDown(now + RECONNECT_NANOS);
				effects.add(new TransferEffect.Connect(peer.vm()));
			}
		}
	}

}
