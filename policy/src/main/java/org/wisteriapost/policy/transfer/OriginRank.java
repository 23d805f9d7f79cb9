package org.wisteriapost.policy.transfer;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Which VM reads which piece from the origin: for each piece all live VMs are ranked by
 * rendezvous hash, and the first reads it.
 *
 * VMs that believe in different lists mostly agree, since a VM that joins or goes changes
 * only the pieces it is first for. Nobody has to be asked.
 */
final class OriginRank {

	// Of 64 pieces each of 34 VMs comes second for two.
	private static final int MOST_WATCHED = 4;

	private final Pieces pieces;

	private final Peer self;

	private final int[] ranks;

	private int size = 1;

	private Set<String> readersBefore = Set.of();

	OriginRank(Pieces pieces, Peer self) {
		this.pieces = pieces;
		this.self = self;
		this.ranks = new int[pieces.count()];
	}

	/**
	 * Ranks anew over this VM and its peers without those that are known to fail.
	 */
	void update(Collection<Peer> peers, Set<String> failing, TransferLimits.Design design) {
		List<Peer> living = peers.stream().filter((peer) -> !failing.contains(peer.vm())).toList();
		long[] others = living.stream().mapToLong((peer) -> Hashing.komihash5_0().hashCharsToLong(peer.vm())).toArray();
		this.size = others.length + 1;
		if (design == TransferLimits.Design.CHAIN) {
			java.util.Arrays.fill(this.ranks, Neighbours.ring(this.self, peers).indexOf(this.self));
			return;
		}
		long own = Hashing.komihash5_0().hashCharsToLong(this.self.vm());
		for (int piece = 0; piece < this.ranks.length; piece++) {
			this.ranks[piece] = rank(piece, own, others);
		}
		this.readersBefore = readersBefore(own, living);
	}

	// The reader of each piece for which this VM comes second.
	private Set<String> readersBefore(long own, List<Peer> living) {
		Set<String> readers = new LinkedHashSet<>();
		for (int piece = 0; piece < this.ranks.length && readers.size() < MOST_WATCHED; piece++) {
			if (this.ranks[piece] != 1) {
				continue;
			}
			long content = Hashing.komihash5_0().hashCharsToLong(this.pieces.hash(piece));
			long weight = weight(content, own);
			living.stream()
				.filter((peer) -> weight(content, Hashing.komihash5_0().hashCharsToLong(peer.vm())) > weight)
				.findFirst()
				.ifPresent((peer) -> readers.add(peer.vm()));
		}
		return readers;
	}

	/**
	 * Returns the VMs that read pieces which this VM is to read when they don't.
	 */
	Set<String> readersBefore() {
		return this.readersBefore;
	}

	/**
	 * Returns how many live VMs come before this one for a piece.
	 */
	int of(int piece) {
		return this.ranks[piece];
	}

	/**
	 * Returns how many VMs are ranked.
	 */
	int size() {
		return this.size;
	}

	private int rank(int piece, long own, long[] others) {
		long content = Hashing.komihash5_0().hashCharsToLong(this.pieces.hash(piece));
		long weight = weight(content, own);
		int before = 0;
		for (long other : others) {
			if (weight(content, other) > weight) {
				before++;
			}
		}
		return before;
	}

	private static long weight(long content, long vm) {
		return Hashing.komihash5_0().hashLongLongToLong(content, vm);
	}

}
