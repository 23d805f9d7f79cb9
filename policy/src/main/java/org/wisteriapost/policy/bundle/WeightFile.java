package org.wisteriapost.policy.bundle;

import java.util.List;

/**
 * The weights of one model or adapter, identified by the hash of every chunk.
 *
 * @param name name of the model or adapter, to which services refer
 * @param version the publisher's version
 * @param path path of the file on the origin
 * @param etag the origin's entity tag of this content, sent as If-Match
 * @param size size in bytes
 * @param chunkBytes size of every chunk except the last
 * @param chunks lower-case hex SHA-256 of each chunk, in order
 */
public record WeightFile(String name, String version, String path, String etag, long size, int chunkBytes,
		List<String> chunks) {

	public WeightFile {
		chunks = List.copyOf(chunks);
	}

	/**
	 * Returns the digest that identifies this content between processes: the hash of its
	 * chunk hashes. Name and path are excluded, so that renamed content is not fetched
	 * again.
	 */
	public String digest() {
		return Digests.sha256(this.size + "\n" + this.chunkBytes + "\n" + String.join("\n", this.chunks));
	}

	/**
	 * Returns the length of a chunk in bytes.
	 */
	public int chunkLength(int index) {
		return (int) Math.min(this.chunkBytes, this.size - (long) index * this.chunkBytes);
	}

}
