package org.wisteriapost.standin;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.protocol.outside.Origin;

/**
 * A published file. Its bytes are generated from path, version and chunk index, so that
 * ranges of files of any size can be served without storing them.
 *
 * The ETag hashes {@link #toString()}, so renaming a component changes it.
 *
 * @param path where it is served
 * @param version set by the publisher
 * @param size in bytes
 * @param chunkBytes size of every chunk but the last
 * @param samePercent percentage of leading chunks that are the same in all versions
 */
record OriginContent(String path, String version, long size, int chunkBytes, int samePercent) {

	private static final long GOLDEN = 0x9E3779B97F4A7C15L;

	OriginContent {
		if (size <= 0 || chunkBytes <= 0) {
			throw new IllegalArgumentException("size and chunk size must be positive");
		}
	}

	String etag() {
		return Digests.sha256(this.toString()).substring(0, 16);
	}

	int chunks() {
		return Math.toIntExact((this.size + this.chunkBytes - 1) / this.chunkBytes);
	}

	Origin.Manifest manifest() {
		List<String> hashes = new ArrayList<>();
		for (int i = 0; i < chunks(); i++) {
			hashes.add(Digests.sha256(chunk(i)));
		}
		return new Origin.Manifest(etag(), this.size, this.chunkBytes, hashes);
	}

	byte[] range(long offset, int length) {
		ByteBuffer bytes = ByteBuffer.allocate(length);
		while (bytes.hasRemaining()) {
			long at = offset + bytes.position();
			int from = (int) (at % this.chunkBytes);
			byte[] chunk = chunk((int) (at / this.chunkBytes));
			bytes.put(chunk, from, Math.min(bytes.remaining(), chunk.length - from));
		}
		return bytes.array();
	}

	private byte[] chunk(int index) {
		int length = (int) Math.min(this.chunkBytes, this.size - (long) index * this.chunkBytes);
		ByteBuffer words = ByteBuffer.allocate((length + Long.BYTES - 1) / Long.BYTES * Long.BYTES);
		long state = seed(index);
		while (words.hasRemaining()) {
			state += GOLDEN;
			words.putLong(mix(state));
		}
		byte[] bytes = new byte[length];
		words.flip().get(bytes);
		return bytes;
	}

	private long seed(int index) {
		boolean same = (long) index * 100 < (long) chunks() * this.samePercent;
		String text = this.path + "\n" + (same ? "" : this.version) + "\n" + index;
		return Long.parseUnsignedLong(Digests.sha256(text).substring(0, 16), 16);
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
