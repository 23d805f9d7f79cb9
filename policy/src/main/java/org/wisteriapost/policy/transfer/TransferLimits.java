package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * The limits and variants of a transfer.
 *
 * @param distribution how chunks spread
 * @param originReadersPerChunk how many VMs read each chunk from the origin without
 * waiting
 * @param maxOriginReads maximum concurrent origin reads
 * @param maxPeers maximum number of peers selected for connections
 * @param maxChunksInProgress maximum number of chunks being requested from peers; bounds
 * the memory used
 * @param maxChunksPerPeer maximum number of chunks being requested from one peer
 * @param minTimeout minimum timeout after which an unanswered request is made elsewhere,
 * or a chunk without a holder is read by the next VM
 * @param announceInterval minimum time between two announcements
 * @param rarestSampleSize size of the random sample of requestable chunks of which the
 * one with the fewest holders comes first; 1 for a random order
 * @param preferSameFailureDomain whether a holder in the same failure domain is preferred
 * to a slightly less loaded one elsewhere
 * @param oneFetcherPerFailureDomain whether each chunk is fetched into a failure domain
 * by one VM there
 */
public record TransferLimits(Distribution distribution, int originReadersPerChunk, int maxOriginReads, int maxPeers,
		int maxChunksInProgress, int maxChunksPerPeer, Duration minTimeout, Duration announceInterval,
		int rarestSampleSize, boolean preferSameFailureDomain, boolean oneFetcherPerFailureDomain) {

	/**
	 * Creates limits under which any VM may request chunks from any other.
	 */
	public TransferLimits(Distribution distribution, int originReadersPerChunk, int maxOriginReads, int maxPeers,
			int maxChunksInProgress, int maxChunksPerPeer, Duration minTimeout, Duration announceInterval,
			int rarestSampleSize, boolean preferSameFailureDomain) {
		this(distribution, originReadersPerChunk, maxOriginReads, maxPeers, maxChunksInProgress, maxChunksPerPeer,
				minTimeout, announceInterval, rarestSampleSize, preferSameFailureDomain, false);
	}

	/**
	 * Returns the default limits, described in docs/design/weights.md.
	 */
	public static TransferLimits standard() {
		return new TransferLimits(Distribution.SWARM, 1, 2, 12, 12, 2, Duration.ofMillis(500), Duration.ofMillis(200),
				16, true);
	}

	/**
	 * How chunks spread from the origin.
	 */
	public enum Distribution {

		/** Every VM reads everything from the origin. */
		NAIVE,
		/** One VM reads from the origin, and each other VM from its predecessor. */
		CHAIN,
		/** Each chunk is read from the origin by one VM and exchanged between peers. */
		SWARM

	}

}
