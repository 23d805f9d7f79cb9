package org.wisteriapost.policy.transfer;

import java.util.BitSet;
import java.util.List;

/**
 * The inputs of the transfer state machine.
 */
public sealed interface TransferEvent {

	/**
	 * The live VMs that fetch or hold the same files, without this one.
	 *
	 * @param peers all of them
	 */
	record PeersSeen(List<Peer> peers) implements TransferEvent {

		public PeersSeen {
			peers = List.copyOf(peers);
		}

	}

	/**
	 * A peer has been connected.
	 *
	 * @param vm the peer
	 */
	record LinkUp(String vm) implements TransferEvent {
	}

	/**
	 * A peer has been disconnected or could not be connected.
	 *
	 * @param vm the peer
	 */
	record LinkDown(String vm) implements TransferEvent {
	}

	/**
	 * A peer neither fetches these files nor holds chunks of them.
	 *
	 * @param vm the peer
	 */
	record PeerIdle(String vm) implements TransferEvent {
	}

	/**
	 * A peer holds these chunks, besides those reported before.
	 *
	 * @param vm the peer
	 * @param pieces the chunks it holds
	 */
	record PeerHolds(String vm, BitSet pieces) implements TransferEvent {
	}

	/**
	 * These chunks were found in the VM's weight store and verified.
	 *
	 * @param pieces the chunks held
	 */
	record Held(BitSet pieces) implements TransferEvent {
	}

	/**
	 * A requested part was received, and the chunk is not complete yet.
	 *
	 * @param piece the chunk
	 * @param vm the peer
	 * @param end how many bytes of the chunk have been received from it
	 */
	record PartCame(int piece, String vm, int end) implements TransferEvent {
	}

	/**
	 * A chunk was received and its hash verified; it is not stored yet.
	 *
	 * @param piece the chunk
	 * @param source the peer or {@link TransferMachine#ORIGIN}
	 */
	record Verified(int piece, String source) implements TransferEvent {
	}

	/**
	 * A chunk was received with a wrong hash and discarded.
	 *
	 * @param piece the requested chunk
	 * @param source the peer or {@link TransferMachine#ORIGIN}
	 */
	record Corrupt(int piece, String source) implements TransferEvent {
	}

	/**
	 * A peer refused a request.
	 *
	 * @param piece the chunk
	 * @param vm the peer
	 * @param busy whether it has too many uploads; false when it does not hold the chunk
	 */
	record Refused(int piece, String vm, boolean busy) implements TransferEvent {
	}

	/**
	 * A read from the origin failed.
	 *
	 * @param piece the chunk
	 * @param changed whether the origin no longer serves the pinned version
	 */
	record OriginFailed(int piece, boolean changed) implements TransferEvent {
	}

	/**
	 * The weight store has written a verified chunk.
	 *
	 * @param piece the chunk
	 */
	record Stored(int piece) implements TransferEvent {
	}

	/**
	 * The weight store failed to write a chunk, no longer has it, or returned corrupt
	 * bytes.
	 *
	 * @param piece the chunk
	 */
	record Lost(int piece) implements TransferEvent {
	}

	/**
	 * The rate at which chunks may be received has changed.
	 *
	 * @param bytesPerSecond 0 for no limit
	 */
	record RateSet(double bytesPerSecond) implements TransferEvent {
	}

	/** Time has passed. */
	record Tick() implements TransferEvent {
	}

}
