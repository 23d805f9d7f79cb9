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
	record PeersChanged(List<Peer> peers) implements TransferEvent {

		public PeersChanged {
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
	record PeerNotFetching(String vm) implements TransferEvent {
	}

	/**
	 * A peer holds these chunks, besides those reported before.
	 *
	 * @param vm the peer
	 * @param chunks the chunks it holds
	 */
	record PeerHolds(String vm, BitSet chunks) implements TransferEvent {
	}

	/**
	 * These chunks were found in the VM's weight store and verified.
	 *
	 * @param chunks the chunks held
	 */
	record StoreScanned(BitSet chunks) implements TransferEvent {
	}

	/**
	 * A requested part was received, and the chunk is not complete yet.
	 *
	 * @param chunk the chunk
	 * @param vm the peer
	 * @param end how many bytes of the chunk have been received from it
	 */
	record PartReceived(int chunk, String vm, int end) implements TransferEvent {
	}

	/**
	 * A chunk was received and its hash verified; it is not stored yet.
	 *
	 * @param chunk the chunk
	 * @param source the peer or {@link TransferStateMachine#ORIGIN}
	 */
	record Verified(int chunk, String source) implements TransferEvent {
	}

	/**
	 * A chunk was received with a wrong hash and discarded.
	 *
	 * @param chunk the requested chunk
	 * @param source the peer or {@link TransferStateMachine#ORIGIN}
	 */
	record Corrupt(int chunk, String source) implements TransferEvent {
	}

	/**
	 * A peer refused a request.
	 *
	 * @param chunk the chunk
	 * @param vm the peer
	 * @param busy whether it has too many uploads; false when it does not hold the chunk
	 */
	record Refused(int chunk, String vm, boolean busy) implements TransferEvent {
	}

	/**
	 * A read from the origin failed.
	 *
	 * @param chunk the chunk
	 * @param versionChanged whether the origin no longer serves the pinned version
	 */
	record OriginReadFailed(int chunk, boolean versionChanged) implements TransferEvent {
	}

	/**
	 * The weight store has written a verified chunk.
	 *
	 * @param chunk the chunk
	 */
	record Stored(int chunk) implements TransferEvent {
	}

	/**
	 * The weight store failed to write a chunk, no longer has it, or returned corrupt
	 * bytes.
	 *
	 * @param chunk the chunk
	 */
	record Lost(int chunk) implements TransferEvent {
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
