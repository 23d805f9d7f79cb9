package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * The limits and variants of a transfer.
 *
 * @param design how chunks spread
 * @param originCopies how many VMs read each chunk from the origin without waiting
 * @param originReads maximum concurrent origin reads
 * @param neighbours maximum number of peers selected for connections
 * @param outstanding maximum number of chunks being requested from peers; bounds the
 * memory used
 * @param perPeer maximum number of chunks being requested from one peer
 * @param progressDeadline minimum timeout after which an unanswered request is made
 * elsewhere, or a chunk without a holder is read by the next VM
 * @param announceInterval minimum time between two announcements
 * @param rarestOf size of the random sample of requestable chunks of which the one with
 * the fewest holders comes first; 1 for a random order
 * @param samePlaceFirst whether a holder in the same failure domain is preferred to a
 * slightly less loaded one elsewhere
 * @param placeReaders whether each chunk is fetched into a failure domain by one VM there
 */
public record TransferLimits(Design design, int originCopies, int originReads, int neighbours, int outstanding,
		int perPeer, Duration progressDeadline, Duration announceInterval, int rarestOf, boolean samePlaceFirst,
		boolean placeReaders) {

	/**
	 * Creates limits under which any VM may request chunks from any other.
	 */
	public TransferLimits(Design design, int originCopies, int originReads, int neighbours, int outstanding,
			int perPeer, Duration progressDeadline, Duration announceInterval, int rarestOf, boolean samePlaceFirst) {
		this(design, originCopies, originReads, neighbours, outstanding, perPeer, progressDeadline, announceInterval,
				rarestOf, samePlaceFirst, false);
	}

	/**
	 * Returns the default limits, described in docs/design/weights.md.
	 */
	public static TransferLimits standard() {
		return new TransferLimits(Design.SWARM, 1, 2, 12, 12, 2, Duration.ofMillis(500), Duration.ofMillis(200), 16,
				true);
	}

	/**
	 * How chunks spread from the origin.
	 */
	public enum Design {

		/** Every VM reads everything from the origin. */
		NAIVE,
		/** One VM reads from the origin, and each other VM from its predecessor. */
		CHAIN,
		/** Each chunk is read from the origin by one VM and exchanged between peers. */
		SWARM

	}

}
