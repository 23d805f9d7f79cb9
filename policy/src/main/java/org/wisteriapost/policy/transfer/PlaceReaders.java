package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Which pieces this VM may ask of VMs in other places.
 *
 * Links between places are few, shared with live traffic and paid for by the byte. Where
 * every VM asks whoever is least busy, each piece crosses them once for nearly every VM.
 * So each piece has one reader in each place, by rendezvous hash over the VMs there, and
 * the others wait until it is held near by. The reader may be dead or slow: a piece that
 * has been held somewhere for the progress deadline and is still missing here may be
 * asked of anyone. Pieces come by turns, each in up to half a second, so one that comes
 * through a reader takes a second and more; released after 0.6 s, pieces crossed twice:
 * 35 MB between regions instead of 29, for two rolls on 20 VMs and the same traffic.
 */
final class PlaceReaders {

	private static final long NEVER = Long.MAX_VALUE;

	private static final long LEAST_NANOS = Duration.ofMillis(1500).toNanos();

	private final Peer self;

	private final OriginRank ranks;

	private final BitSet allowed;

	private final long[] heldSince;

	PlaceReaders(Pieces pieces, Peer self) {
		this.self = self;
		this.ranks = new OriginRank(pieces, self);
		this.allowed = new BitSet(pieces.count());
		this.allowed.set(0, pieces.count());
		this.heldSince = new long[pieces.count()];
		Arrays.fill(this.heldSince, NEVER);
	}

	/**
	 * Ranks anew over the VMs of this place without those that are known to fail.
	 */
	void update(Collection<Peer> peers, Set<String> failing) {
		List<Peer> near = peers.stream().filter((peer) -> peer.place().equals(this.self.place())).toList();
		this.ranks.update(near, failing, TransferLimits.Design.SWARM);
		for (int piece = 0; piece < this.heldSince.length; piece++) {
			this.allowed.set(piece, this.ranks.of(piece) == 0);
		}
	}

	/**
	 * Returns the VMs of this place in whose stead this one brings pieces in when they
	 * fail.
	 */
	Set<String> readersBefore() {
		return this.ranks.readersBefore();
	}

	/**
	 * Lets go of pieces that others have held for the deadline.
	 */
	void tick(BitSet open, PieceChoice choice, long now, long deadlineNanos) {
		long patience = Math.max(deadlineNanos, LEAST_NANOS);
		for (int piece = open.nextSetBit(0); piece >= 0; piece = open.nextSetBit(piece + 1)) {
			if (choice.holders(piece) == 0) {
				this.heldSince[piece] = NEVER;
			}
			else if (this.heldSince[piece] == NEVER) {
				this.heldSince[piece] = now;
			}
			else if (now - this.heldSince[piece] > patience) {
				this.allowed.set(piece);
			}
		}
	}

	/**
	 * Returns the pieces that may be asked of VMs in other places.
	 */
	BitSet allowed() {
		return this.allowed;
	}

}
