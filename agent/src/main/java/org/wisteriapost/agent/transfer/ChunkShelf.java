package org.wisteriapost.agent.transfer;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.policy.transfer.LocalCopyPlanner.HeldFile;

/**
 * Which chunks of which files this process has verified in the VM's store. Used by the
 * transfer's thread alone.
 */
final class ChunkShelf {

	private final Map<String, HeldFile> files = new HashMap<>();

	void know(String digest, WeightFile file) {
		this.files.computeIfAbsent(digest, (key) -> new HeldFile(file, key, new BitSet()));
	}

	boolean knows(String digest) {
		return this.files.containsKey(digest);
	}

	Collection<HeldFile> all() {
		return this.files.values();
	}

	int size(String digest) {
		HeldFile file = this.files.get(digest);
		return (file != null) ? file.file().chunks().size() : 0;
	}

	BitSet held(String digest) {
		HeldFile file = this.files.get(digest);
		return (file != null) ? file.chunks() : new BitSet();
	}

	void add(String digest, int index) {
		held(digest).set(index);
	}

	void remove(String digest, int index) {
		held(digest).clear(index);
	}

	int length(String digest, int index) {
		return this.files.get(digest).file().chunkLength(index);
	}

	String hash(String digest, int index) {
		return this.files.get(digest).file().chunks().get(index);
	}

	/**
	 * Returns whether bytes are what the manifest says.
	 */
	static boolean matches(byte[] bytes, String hash) {
		return Digests.sha256(bytes).equals(hash);
	}

}
