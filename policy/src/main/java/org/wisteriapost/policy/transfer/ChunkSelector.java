package org.wisteriapost.policy.transfer;

import java.util.BitSet;
import java.util.Collection;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the next chunk to request and the peer to request it from.
 *
 * Chunks that the fewest connected peers hold come first, so that no chunk is left on a
 * single VM that may die, and so that the chunks held here are useful to others. Ties are
 * broken at random, so that VMs with the same view select different chunks.
 */
final class ChunkSelector {

	private final TransferLimits limits;

	private final UniformRandomProvider random;

	private final int[] holders;

	ChunkSelector(int chunks, TransferLimits limits, UniformRandomProvider random) {
		this.holders = new int[chunks];
		this.limits = limits;
		this.random = random;
	}

	/**
	 * Returns how many connected peers hold a chunk.
	 */
	int holders(int chunk) {
		return this.holders[chunk];
	}

	void addHolder(BitSet chunks) {
		chunks.stream().forEach((chunk) -> this.holders[chunk]++);
	}

	void removeHolder(BitSet chunks) {
		chunks.stream().forEach((chunk) -> this.holders[chunk]--);
	}

	/**
	 * Returns the next request, or empty when no peer that accepts requests holds a
	 * requestable chunk.
	 * @param crossDomain the chunks that may be requested from other failure domains
	 */
	Optional<Selection> next(BitSet requestable, Collection<PeerState> peers, BitSet crossDomain, long now) {
		BitSet unrestricted = new BitSet(this.holders.length);
		BitSet candidates = new BitSet(this.holders.length);
		for (PeerState peer : peers) {
			if (peer.acceptsNewChunk(now, this.limits.maxChunksPerPeer())) {
				(isUnrestricted(peer) ? unrestricted : candidates).or(peer.held());
			}
		}
		candidates.and(crossDomain);
		candidates.or(unrestricted);
		candidates.and(requestable);
		int chunk = selectRarest(candidates);
		return (chunk < 0) ? Optional.empty() : leastLoadedHolder(chunk, peers, crossDomain.get(chunk), now)
			.map((peer) -> new Selection(peer, chunk));
	}

	private boolean isUnrestricted(PeerState peer) {
		return peer.sameFailureDomain() || !this.limits.oneFetcherPerFailureDomain();
	}

	private int selectRarest(BitSet candidates) {
		if (this.limits.distribution() == TransferLimits.Distribution.CHAIN) {
			return candidates.nextSetBit(0);
		}
		int count = candidates.cardinality();
		int chosen = -1;
		for (int draw = 0; draw < Math.min(this.limits.rarestSampleSize(), count); draw++) {
			int candidate = randomCandidate(candidates);
			if (chosen < 0 || this.holders[candidate] < this.holders[chosen]) {
				chosen = candidate;
			}
		}
		return chosen;
	}

	private int randomCandidate(BitSet candidates) {
		int from = this.random.nextInt(this.holders.length);
		int chunk = candidates.nextSetBit(from);
		return (chunk >= 0) ? chunk : candidates.nextSetBit(0);
	}

	private Optional<PeerState> leastLoadedHolder(int chunk, Collection<PeerState> peers, boolean crossDomain,
			long now) {
		PeerState chosen = null;
		int minLoad = Integer.MAX_VALUE;
		int ties = 0;
		for (PeerState peer : peers) {
			boolean allowed = crossDomain || isUnrestricted(peer);
			if (!allowed || !peer.held().get(chunk) || !peer.acceptsNewChunk(now, this.limits.maxChunksPerPeer())) {
				continue;
			}
			int load = load(peer);
			ties = (load < minLoad) ? 0 : ties;
			minLoad = Math.min(minLoad, load);
			if (load == minLoad && this.random.nextInt(++ties) == 0) {
				chosen = peer;
			}
		}
		return Optional.ofNullable(chosen);
	}

	private int load(PeerState peer) {
		int remote = (this.limits.preferSameFailureDomain() && !peer.sameFailureDomain()) ? 1 : 0;
		return (peer.pending().size() + peer.partial().size()) * 2 + remote;
	}

	/**
	 * A request to make.
	 *
	 * @param peer the holder to request it from
	 * @param chunk the chunk to request
	 */
	record Selection(PeerState peer, int chunk) {
	}

}
