package org.wisteriapost.policy.bundle;

import java.util.List;

/**
 * One model's or adapter's weights, pinned down to the hash of every chunk.
 *
 * @param name the model or adapter, as services name it
 * @param version the publisher's version
 * @param path where the origin serves it
 * @param etag the origin's validator for exactly this content; sent as If-Match
 * @param size in bytes
 * @param chunkBytes size of every chunk but the last
 * @param chunks lower-case hex SHA-256 of each chunk, in order
 */
public record WeightFile(String name, String version, String path, String etag, long size, int chunkBytes,
		List<String> chunks) {

	public WeightFile {
		chunks = List.copyOf(chunks);
	}

	/**
	 * Returns the digest that names this content between processes: the hash of its chunk
	 * hashes. Name and path are left out, so that renamed content is not fetched again.
	 */
	public String digest() {
		return Digests.sha256(this.size + "\n" + this.chunkBytes + "\n" + String.join("\n", this.chunks));
	}

	/**
	 * Returns the length in bytes of one chunk.
	 */
	public int chunkLength(int index) {
		return (int) Math.min(this.chunkBytes, this.size - (long) index * this.chunkBytes);
	}

}
