package org.wisteriapost.policy.transfer;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Ranks the live VMs for each chunk by rendezvous hashing; the first one reads the chunk.
 *
 * VMs with different views of the fleet mostly agree without communicating, since a VM
 * that joins or leaves changes only the chunks that it ranks first for.
 */
final class RendezvousRanking {

	// Bounds the additional connections. With 34 VMs and 64 chunks a VM ranks second for
	// about two chunks.
	private static final int MAX_PRECEDING_READERS = 4;

	private final ChunkIndex chunks;

	private final Peer self;

	private final int[] ranks;

	private int size = 1;

	private Set<String> precedingReaders = Set.of();

	RendezvousRanking(ChunkIndex chunks, Peer self) {
		this.chunks = chunks;
		this.self = self;
		this.ranks = new int[chunks.count()];
	}

	/**
	 * Recomputes the ranks of this VM among the peers that are not failing.
	 */
	void update(Collection<Peer> peers, Set<String> failing, TransferLimits.Distribution design) {
		List<Peer> live = peers.stream().filter((peer) -> !failing.contains(peer.vm())).toList();
		long[] others = live.stream().mapToLong((peer) -> Hashing.komihash5_0().hashCharsToLong(peer.vm())).toArray();
		this.size = others.length + 1;
		if (design == TransferLimits.Distribution.CHAIN) {
			java.util.Arrays.fill(this.ranks, PeerSelection.ring(this.self, peers).indexOf(this.self));
			return;
		}
		long own = Hashing.komihash5_0().hashCharsToLong(this.self.vm());
		for (int chunk = 0; chunk < this.ranks.length; chunk++) {
			this.ranks[chunk] = rank(chunk, own, others);
		}
		this.precedingReaders = precedingReaders(own, live);
	}

	// The first-ranked VM of each chunk for which this VM ranks second.
	private Set<String> precedingReaders(long own, List<Peer> live) {
		Set<String> readers = new LinkedHashSet<>();
		for (int chunk = 0; chunk < this.ranks.length && readers.size() < MAX_PRECEDING_READERS; chunk++) {
			if (this.ranks[chunk] != 1) {
				continue;
			}
			long content = Hashing.komihash5_0().hashCharsToLong(this.chunks.hash(chunk));
			long weight = weight(content, own);
			live.stream()
				.filter((peer) -> weight(content, Hashing.komihash5_0().hashCharsToLong(peer.vm())) > weight)
				.findFirst()
				.ifPresent((peer) -> readers.add(peer.vm()));
		}
		return readers;
	}

	/**
	 * Returns VMs that rank first for chunks for which this VM ranks second.
	 */
	Set<String> precedingReaders() {
		return this.precedingReaders;
	}

	/**
	 * Returns how many live VMs rank before this one for a chunk.
	 */
	int rankOf(int chunk) {
		return this.ranks[chunk];
	}

	int size() {
		return this.size;
	}

	private int rank(int chunk, long own, long[] others) {
		long content = Hashing.komihash5_0().hashCharsToLong(this.chunks.hash(chunk));
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
