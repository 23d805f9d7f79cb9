package org.wisteriapost.protocol.outside;

import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;

/**
 * The origin of weights. Every byte read from it is charged.
 */
public interface Origin extends AutoCloseable {

	/** The origin did not answer or its response was truncated. */
	Code UNAVAILABLE = Code.unavailable("origin-unavailable", "The origin of weights did not answer.");

	/** The file at the path is no longer the pinned version. */
	Code CHANGED = Code.error("origin-version-changed",
			"A file changed at the origin after the bundle pinned it; nothing of it is taken.");

	/**
	 * Reads a range of the pinned version, which is sent as If-Match.
	 */
	CompletableFuture<byte[]> read(String path, String etag, long offset, int length);

	/**
	 * Returns the publisher's manifest of a path: size, chunk size and chunk hashes.
	 */
	CompletableFuture<Manifest> manifest(String path);

	@Override
	void close();

	/**
	 * The publisher's description of a file.
	 *
	 * @param etag the entity tag of this content
	 * @param size in bytes
	 * @param chunkBytes size of each chunk except the last
	 * @param chunks lower-case hex SHA-256 of each chunk
	 */
	record Manifest(String etag, long size, int chunkBytes, java.util.List<String> chunks) {
	}

}
