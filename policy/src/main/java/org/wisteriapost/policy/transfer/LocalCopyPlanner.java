package org.wisteriapost.policy.transfer;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.bundle.WeightFile;

/**
 * Finds chunks of a fetch that can be copied within the VM's store because another file
 * holds the same content, such as chunks that did not change between two versions.
 */
public final class LocalCopyPlanner {

	private LocalCopyPlanner() {
	}

	/**
	 * Returns a copy for each wanted chunk whose content is held in another file.
	 * @param held files with the chunks that are held of each
	 * @param have chunks that are already held
	 */
	public static List<Copy> plan(ChunkIndex wanted, Collection<HeldFile> held, BitSet have) {
		Map<String, Copy> byHash = new HashMap<>();
		for (HeldFile file : held) {
			file.chunks()
				.stream()
				.forEach((index) -> byHash.putIfAbsent(file.file().chunks().get(index),
						new Copy(file.digest(), index, -1)));
		}
		List<Copy> copies = new ArrayList<>();
		for (int chunk = have.nextClearBit(0); chunk < wanted.count(); chunk = have.nextClearBit(chunk + 1)) {
			Copy source = byHash.get(wanted.hash(chunk));
			if (source != null) {
				copies.add(new Copy(source.sourceDigest(), source.sourceIndex(), chunk));
			}
		}
		return copies;
	}

	/**
	 * A file in the store with the chunks that are held.
	 *
	 * @param file its manifest
	 * @param digest its digest
	 * @param chunks which chunks are held and verified
	 */
	public record HeldFile(WeightFile file, String digest, BitSet chunks) {
	}

	/**
	 * A chunk to copy within the store.
	 *
	 * @param sourceDigest digest of the source file
	 * @param sourceIndex index of the chunk in the source file
	 * @param chunk the chunk of the fetch that it is copied to
	 */
	public record Copy(String sourceDigest, int sourceIndex, int chunk) {
	}

}
