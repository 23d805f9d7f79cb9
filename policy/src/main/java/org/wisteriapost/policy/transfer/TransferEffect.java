package org.wisteriapost.policy.transfer;

import java.util.BitSet;

import org.wisteriapost.kernel.Code;

/**
 * The actions that the transfer state machine requests from the I/O layer.
 */
public sealed interface TransferEffect {

	/**
	 * Connect to a peer and ask which chunks it holds.
	 *
	 * @param vm the peer
	 */
	record Connect(String vm) implements TransferEffect {
	}

	/**
	 * Close the link to a peer that is no longer selected.
	 *
	 * @param vm the peer
	 */
	record Disconnect(String vm) implements TransferEffect {
	}

	/**
	 * Request a part of a chunk from a peer.
	 *
	 * @param vm the peer
	 * @param chunk the chunk
	 * @param offset where the part begins
	 * @param length length of the part in bytes; 0 for the rest of the chunk
	 */
	record Request(String vm, int chunk, int offset, int length) implements TransferEffect {

		/**
		 * Requests the whole chunk.
		 */
		public Request(String vm, int chunk) {
			this(vm, chunk, 0, 0);
		}

	}

	/**
	 * Discard the parts of a chunk received from a peer.
	 *
	 * @param vm the peer
	 * @param chunk the chunk
	 */
	record DiscardParts(String vm, int chunk) implements TransferEffect {
	}

	/**
	 * Read a chunk from the origin.
	 *
	 * @param chunk the chunk
	 */
	record ReadOrigin(int chunk) implements TransferEffect {
	}

	/**
	 * Write a verified chunk to the weight store.
	 *
	 * @param chunk the chunk
	 */
	record Store(int chunk) implements TransferEffect {
	}

	/**
	 * Copy a stored chunk within the weight store.
	 *
	 * @param from the stored chunk
	 * @param to a chunk with the same content
	 */
	record Copy(int from, int to) implements TransferEffect {
	}

	/**
	 * Notify every VM that asked about these files that this one holds more chunks.
	 *
	 * @param chunks the chunks stored since the last announcement
	 */
	record Announce(BitSet chunks) implements TransferEffect {
	}

	/**
	 * Every chunk is in the weight store.
	 */
	record Complete() implements TransferEffect {
	}

	/**
	 * End the fetch because the origin no longer serves the pinned version; two versions
	 * are never mixed.
	 *
	 * @param chunk the chunk whose read showed it
	 */
	record VersionChanged(int chunk) implements TransferEffect {
	}

	/**
	 * End the fetch because of an error that retries cannot resolve.
	 *
	 * @param code the error
	 * @param chunk the chunk in which it was found
	 */
	record Fail(Code code, int chunk) implements TransferEffect {
	}

	/**
	 * Report a problem to operators as a log line and a metric.
	 *
	 * @param code the problem
	 * @param source the peer or {@link TransferStateMachine#ORIGIN}
	 * @param chunk the chunk
	 */
	record Notice(Code code, String source, int chunk) implements TransferEffect {
	}

}
