package org.wisteriapost.agent.transfer;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.policy.transfer.LocalCopyPlanner.HeldFile;

/**
 * Chunks in the VM's weight store that this process has verified, by file digest.
 * Confined to the transfer thread.
 */
final class VerifiedChunks {

	private final Map<String, HeldFile> files = new HashMap<>();

	void addFile(String digest, WeightFile file) {
		this.files.computeIfAbsent(digest, (key) -> new HeldFile(file, key, new BitSet()));
	}

	boolean hasFile(String digest) {
		return this.files.containsKey(digest);
	}

	Collection<HeldFile> files() {
		return this.files.values();
	}

	int chunkCount(String digest) {
		HeldFile file = this.files.get(digest);
		return (file != null) ? file.file().chunks().size() : 0;
	}

	BitSet chunks(String digest) {
		HeldFile file = this.files.get(digest);
		return (file != null) ? file.chunks() : new BitSet();
	}

	void add(String digest, int index) {
		chunks(digest).set(index);
	}

	void remove(String digest, int index) {
		chunks(digest).clear(index);
	}

	int chunkLength(String digest, int index) {
		return this.files.get(digest).file().chunkLength(index);
	}

	String chunkHash(String digest, int index) {
		return this.files.get(digest).file().chunks().get(index);
	}

	/**
	 * Returns whether the SHA-256 hash of a chunk equals the one in the manifest.
	 */
	static boolean matches(byte[] bytes, String hash) {
		return Digests.sha256(bytes).equals(hash);
	}

}
