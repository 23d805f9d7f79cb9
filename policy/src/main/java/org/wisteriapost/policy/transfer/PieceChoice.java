package org.wisteriapost.policy.transfer;

import java.util.BitSet;
import java.util.Collection;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Which piece to ask for next, and whom.
 *
 * The piece that fewest neighbours hold goes first, so that no piece is left on a VM that
 * dies, and so that what this VM holds is worth asking for. Among equals chance decides:
 * VMs that see the same must not all choose the same.
 */
final class PieceChoice {

	private final TransferLimits limits;

	private final UniformRandomProvider random;

	private final int[] holders;

	PieceChoice(int pieces, TransferLimits limits, UniformRandomProvider random) {
		this.holders = new int[pieces];
		this.limits = limits;
		this.random = random;
	}

	/**
	 * Returns how many neighbours with a link hold a piece.
	 */
	int holders(int piece) {
		return this.holders[piece];
	}

	void added(BitSet pieces) {
		pieces.stream().forEach((piece) -> this.holders[piece]++);
	}

	void removed(BitSet pieces) {
		pieces.stream().forEach((piece) -> this.holders[piece]--);
	}

	/**
	 * Returns what to ask next, unless no peer that may be asked holds an open piece.
	 * @param fromAfar the pieces that may be asked of VMs in other places
	 */
	Optional<Choice> next(BitSet open, Collection<PeerState> peers, BitSet fromAfar, long now) {
		BitSet near = new BitSet(this.holders.length);
		BitSet usable = new BitSet(this.holders.length);
		for (PeerState peer : peers) {
			if (peer.askable(now, this.limits.perPeer())) {
				(free(peer) ? near : usable).or(peer.has());
			}
		}
		usable.and(fromAfar);
		usable.or(near);
		usable.and(open);
		int piece = choose(usable);
		return (piece < 0) ? Optional.empty()
				: holder(piece, peers, fromAfar.get(piece), now).map((peer) -> new Choice(peer, piece));
	}

	private boolean free(PeerState peer) {
		return peer.near() || !this.limits.placeReaders();
	}

	private int choose(BitSet usable) {
		if (this.limits.design() == TransferLimits.Design.CHAIN) {
			return usable.nextSetBit(0);
		}
		int count = usable.cardinality();
		int chosen = -1;
		for (int draw = 0; draw < Math.min(this.limits.rarestOf(), count); draw++) {
			int drawn = drawn(usable);
			if (chosen < 0 || this.holders[drawn] < this.holders[chosen]) {
				chosen = drawn;
			}
		}
		return chosen;
	}

	private int drawn(BitSet usable) {
		int from = this.random.nextInt(this.holders.length);
		int piece = usable.nextSetBit(from);
		return (piece >= 0) ? piece : usable.nextSetBit(0);
	}

	private Optional<PeerState> holder(int piece, Collection<PeerState> peers, boolean fromAfar, long now) {
		PeerState chosen = null;
		int least = Integer.MAX_VALUE;
		int equals = 0;
		for (PeerState peer : peers) {
			boolean may = fromAfar || free(peer);
			if (!may || !peer.has().get(piece) || !peer.askable(now, this.limits.perPeer())) {
				continue;
			}
			int cost = cost(peer);
			equals = (cost < least) ? 0 : equals;
			least = Math.min(least, cost);
			if (cost == least && this.random.nextInt(++equals) == 0) {
				chosen = peer;
			}
		}
		return Optional.ofNullable(chosen);
	}

	private int cost(PeerState peer) {
		int far = (this.limits.samePlaceFirst() && !peer.near()) ? 1 : 0;
		return (peer.asks().size() + peer.begun().size()) * 2 + far;
	}

	/**
	 * One request to make.
	 *
	 * @param peer the holder to ask
	 * @param piece what to ask for
	 */
	record Choice(PeerState peer, int piece) {
	}

}
