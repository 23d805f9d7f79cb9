package org.wisteriapost.protocol.outside;

import java.util.BitSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The memory of the endpoint VM that holds chunks for its engine. It outlives the agent's
 * process but not the VM. What is read back is hashed again before it is used.
 */
public interface WeightStore extends AutoCloseable {

	/**
	 * Keeps one verified chunk of the file with this digest.
	 */
	CompletableFuture<Void> put(String file, int index, byte[] chunk);

	/**
	 * Returns one chunk, when it is held.
	 */
	CompletableFuture<Optional<byte[]>> get(String file, int index);

	/**
	 * Returns which chunks of a file are held.
	 */
	CompletableFuture<BitSet> held(String file);

	/**
	 * Drops a file that no bundle in force names.
	 */
	CompletableFuture<Void> drop(String file);

	@Override
	void close();

}
