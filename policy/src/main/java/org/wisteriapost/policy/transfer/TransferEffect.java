package org.wisteriapost.policy.transfer;

import java.util.BitSet;

import org.wisteriapost.kernel.Code;

/**
 * Everything that the transfer decisions ask the I/O layer to do.
 */
public sealed interface TransferEffect {

	/**
	 * Make a link to a neighbour and ask for its pieces.
	 *
	 * @param vm the neighbour
	 */
	record Connect(String vm) implements TransferEffect {
	}

	/**
	 * Close the link to what is a neighbour no longer.
	 *
	 * @param vm the former neighbour
	 */
	record Disconnect(String vm) implements TransferEffect {
	}

	/**
	 * Ask a neighbour for a part of a piece.
	 *
	 * @param vm the neighbour
	 * @param piece which
	 * @param offset where the part begins
	 * @param length of the part in bytes; 0 for all from the offset on
	 */
	record Request(String vm, int piece, int offset, int length) implements TransferEffect {

		/**
		 * Asks for the whole piece.
		 */
		public Request(String vm, int piece) {
			this(vm, piece, 0, 0);
		}

	}

	/**
	 * Forget the parts of a piece that have come from a neighbour.
	 *
	 * @param vm the neighbour
	 * @param piece which
	 */
	record Drop(String vm, int piece) implements TransferEffect {
	}

	/**
	 * Read a piece from the origin.
	 *
	 * @param piece which
	 */
	record ReadOrigin(int piece) implements TransferEffect {
	}

	/**
	 * Put a verified piece into the weight store.
	 *
	 * @param piece which
	 */
	record Store(int piece) implements TransferEffect {
	}

	/**
	 * Copy a held piece within the weight store.
	 *
	 * @param from what is held
	 * @param to a piece of the same content
	 */
	record Copy(int from, int to) implements TransferEffect {
	}

	/**
	 * Tell every VM that asked about these files that this one now holds more.
	 *
	 * @param pieces what has been added since the last time
	 */
	record Announce(BitSet pieces) implements TransferEffect {
	}

	/** Every piece is in the weight store. */
	record Complete() implements TransferEffect {
	}

	/**
	 * The pinned version is gone from the origin: the fetch ends, nothing is mixed.
	 *
	 * @param piece where it was found
	 */
	record Changed(int piece) implements TransferEffect {
	}

	/**
	 * The fetch cannot come true by waiting.
	 *
	 * @param code why
	 * @param piece where it was found
	 */
	record Fail(Code code, int piece) implements TransferEffect {
	}

	/**
	 * Something that an operator should be able to count and find.
	 *
	 * @param code what
	 * @param source the neighbour or {@link TransferMachine#ORIGIN}
	 * @param piece which
	 */
	record Notice(Code code, String source, int piece) implements TransferEffect {
	}

}
