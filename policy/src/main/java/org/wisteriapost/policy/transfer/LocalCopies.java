package org.wisteriapost.policy.transfer;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.bundle.WeightFile;

/**
 * Which pieces of a fetch need no link at all, because another file in the VM's store has
 * the same content: what did not change between two versions.
 */
public final class LocalCopies {

	private LocalCopies() {
	}

	/**
	 * Returns a copy for each wanted piece whose content is held in another file.
	 * @param held files with the chunks that are held of each
	 * @param have pieces that are held already
	 */
	public static List<Copy> plan(Pieces wanted, Collection<HeldFile> held, BitSet have) {
		Map<String, Copy> byHash = new HashMap<>();
		for (HeldFile file : held) {
			file.chunks()
				.stream()
				.forEach((index) -> byHash.putIfAbsent(file.file().chunks().get(index),
						new Copy(file.digest(), index, -1)));
		}
		List<Copy> copies = new ArrayList<>();
		for (int piece = have.nextClearBit(0); piece < wanted.count(); piece = have.nextClearBit(piece + 1)) {
			Copy source = byHash.get(wanted.hash(piece));
			if (source != null) {
				copies.add(new Copy(source.digest(), source.index(), piece));
			}
		}
		return copies;
	}

	/**
	 * A file in the store.
	 *
	 * @param file its manifest
	 * @param digest its digest
	 * @param chunks which chunks are held and verified
	 */
	public record HeldFile(WeightFile file, String digest, BitSet chunks) {
	}

	/**
	 * One chunk to copy within the store.
	 *
	 * @param digest of the file that has it
	 * @param index of the chunk there
	 * @param piece where it is wanted
	 */
	public record Copy(String digest, int index, int piece) {
	}

}
