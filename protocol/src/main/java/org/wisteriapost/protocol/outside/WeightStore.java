package org.wisteriapost.protocol.outside;

import java.util.BitSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A store on the endpoint VM that holds chunks of weights for the engine. It outlives the
 * agent's process but not the VM. Chunks that are read back are verified by hash again.
 */
public interface WeightStore extends AutoCloseable {

	/**
	 * Stores a verified chunk of the file with this digest.
	 */
	CompletableFuture<Void> put(String file, int index, byte[] chunk);

	/**
	 * Returns a chunk, if it is stored.
	 */
	CompletableFuture<Optional<byte[]>> get(String file, int index);

	/**
	 * Returns the indexes of the stored chunks of a file.
	 */
	CompletableFuture<BitSet> storedChunks(String file);

	/**
	 * Deletes a file that no active bundle contains.
	 */
	CompletableFuture<Void> delete(String file);

	/**
	 * Returns whether a stored chunk stays until its file is deleted. Otherwise files
	 * overwrite each other's chunks, and what was verified once must be read again before
	 * it is used.
	 */
	default boolean isolatesFiles() {
		return true;
	}

	@Override
	void close();

}
