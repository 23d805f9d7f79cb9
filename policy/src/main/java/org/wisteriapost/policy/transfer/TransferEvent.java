package org.wisteriapost.policy.transfer;

import java.util.BitSet;
import java.util.List;

/**
 * Everything that the transfer decisions learn.
 */
public sealed interface TransferEvent {

	/**
	 * The live VMs that need the same files, without this one.
	 *
	 * @param peers all of them
	 */
	record PeersSeen(List<Peer> peers) implements TransferEvent {

		public PeersSeen {
			peers = List.copyOf(peers);
		}

	}

	/**
	 * The link to a neighbour is up.
	 *
	 * @param vm the neighbour
	 */
	record LinkUp(String vm) implements TransferEvent {
	}

	/**
	 * The link to a neighbour is gone, or could not be made.
	 *
	 * @param vm the neighbour
	 */
	record LinkDown(String vm) implements TransferEvent {
	}

	/**
	 * A neighbour does not fetch these files and holds nothing of them.
	 *
	 * @param vm the neighbour
	 */
	record PeerIdle(String vm) implements TransferEvent {
	}

	/**
	 * A neighbour holds these pieces, besides those it said before.
	 *
	 * @param vm the neighbour
	 * @param pieces what it holds
	 */
	record PeerHolds(String vm, BitSet pieces) implements TransferEvent {
	}

	/**
	 * These pieces were found in the VM's weight store and their hashes are right.
	 *
	 * @param pieces what is held
	 */
	record Held(BitSet pieces) implements TransferEvent {
	}

	/**
	 * A part of a piece that was asked for has come, and more of the piece is missing.
	 *
	 * @param piece which
	 * @param vm the neighbour
	 * @param end how many bytes of the piece have come from it
	 */
	record PartCame(int piece, String vm, int end) implements TransferEvent {
	}

	/**
	 * A piece has come and its hash is right; it is not stored yet.
	 *
	 * @param piece which
	 * @param source the neighbour or {@link TransferMachine#ORIGIN}
	 */
	record Verified(int piece, String source) implements TransferEvent {
	}

	/**
	 * Bytes have come whose hash is wrong; they were dropped.
	 *
	 * @param piece which was asked for
	 * @param source the neighbour or {@link TransferMachine#ORIGIN}
	 */
	record Corrupt(int piece, String source) implements TransferEvent {
	}

	/**
	 * A neighbour does not give a piece now.
	 *
	 * @param piece which
	 * @param vm the neighbour
	 * @param busy whether it has too many uploads; false when it does not hold the piece
	 */
	record Refused(int piece, String vm, boolean busy) implements TransferEvent {
	}

	/**
	 * The origin did not give a piece.
	 *
	 * @param piece which
	 * @param changed whether the pinned version is gone for good
	 */
	record OriginFailed(int piece, boolean changed) implements TransferEvent {
	}

	/**
	 * The weight store has taken a verified piece.
	 *
	 * @param piece which
	 */
	record Stored(int piece) implements TransferEvent {
	}

	/**
	 * The weight store did not take or no longer has a piece, or what it gave back was
	 * wrong.
	 *
	 * @param piece which
	 */
	record Lost(int piece) implements TransferEvent {
	}

	/**
	 * How fast pieces may come in from now on.
	 *
	 * @param bytesPerSecond 0 for no limit
	 */
	record RateSet(double bytesPerSecond) implements TransferEvent {
	}

	/** Time has passed. */
	record Tick() implements TransferEvent {
	}

}
