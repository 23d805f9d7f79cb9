package org.wisteriapost.policy.transfer;

import java.time.Duration;

/**
 * What operators may set and measurements vary.
 *
 * @param design how pieces spread
 * @param originCopies how many VMs read each piece from the origin without waiting
 * @param originReads origin reads at once
 * @param neighbours the most links that this VM makes
 * @param outstanding pieces asked of peers at once; bounds the bytes in memory
 * @param perPeer pieces asked of one peer at once
 * @param progressDeadline the shortest time after which a request without an answer, or a
 * piece that nobody holds, is looked for elsewhere
 * @param announceInterval the shortest time between two announcements
 * @param rarestOf of how many open pieces, drawn by chance, the one that fewest
 * neighbours hold goes first; 1 for chance alone
 * @param samePlaceFirst whether a holder in the same place goes before one less asked
 * @param placeReaders whether each piece is brought into a place by one VM there
 */
public record TransferLimits(Design design, int originCopies, int originReads, int neighbours, int outstanding,
		int perPeer, Duration progressDeadline, Duration announceInterval, int rarestOf, boolean samePlaceFirst,
		boolean placeReaders) {

	/**
	 * Returns limits under which any VM may ask any other.
	 */
	public TransferLimits(Design design, int originCopies, int originReads, int neighbours, int outstanding,
			int perPeer, Duration progressDeadline, Duration announceInterval, int rarestOf, boolean samePlaceFirst) {
		this(design, originCopies, originReads, neighbours, outstanding, perPeer, progressDeadline, announceInterval,
				rarestOf, samePlaceFirst, false);
	}

	/**
	 * Returns the values chosen by measurement, docs/design/weights.md.
	 */
	public static TransferLimits standard() {
		return new TransferLimits(Design.SWARM, 1, 2, 12, 12, 2, Duration.ofMillis(500), Duration.ofMillis(200), 16,
				true);
	}

	/**
	 * How pieces spread.
	 */
	public enum Design {

		/** Every VM reads everything from the origin. */
		NAIVE,
		/** One VM reads from the origin, each other from the one before it. */
		CHAIN,
		/** Each piece has one reader, all others ask their neighbours. */
		SWARM

	}

}
