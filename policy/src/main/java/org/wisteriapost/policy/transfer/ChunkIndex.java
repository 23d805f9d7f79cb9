package org.wisteriapost.policy.transfer;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.wisteriapost.policy.bundle.WeightFile;

/**
 * Numbers the chunks of several files consecutively. Immutable.
 */
public final class ChunkIndex {

	private final List<WeightFile> files;

	private final List<String> digests;

	private final int[] first;

	private final int count;

	private final List<int[]> duplicates;

	private final BitSet distinct;

	private ChunkIndex(List<WeightFile> files) {
		this.files = List.copyOf(files);
		this.digests = this.files.stream().map(WeightFile::digest).toList();
		this.first = new int[files.size()];
		int next = 0;
		for (int i = 0; i < this.first.length; i++) {
			this.first[i] = next;
			next += files.get(i).chunks().size();
		}
		this.count = next;
		this.distinct = new BitSet(this.count);
		this.duplicates = duplicates();
	}

	/**
	 * Returns the numbering of some files, in their order. Duplicate files are included
	 * once.
	 */
	public static ChunkIndex of(List<WeightFile> files) {
		Map<String, WeightFile> byDigest = new HashMap<>();
		return new ChunkIndex(
				files.stream().filter((file) -> byDigest.putIfAbsent(file.digest(), file) == null).toList());
	}

	public int count() {
		return this.count;
	}

	/**
	 * Returns the files without duplicates.
	 */
	public List<WeightFile> files() {
		return this.files;
	}

	public WeightFile file(int chunk) {
		return this.files.get(fileNumber(chunk));
	}

	/**
	 * Returns the digest of the file that a chunk belongs to.
	 */
	public String digest(int chunk) {
		return this.digests.get(fileNumber(chunk));
	}

	/**
	 * Returns the digest of a file by its number in {@link #files()}.
	 */
	public String digestOfFile(int fileNumber) {
		return this.digests.get(fileNumber);
	}

	/**
	 * Returns a chunk's index within its file.
	 */
	public int indexInFile(int chunk) {
		return chunk - this.first[fileNumber(chunk)];
	}

	/**
	 * Returns the SHA-256 of a chunk in lower-case hex.
	 */
	public String hash(int chunk) {
		return file(chunk).chunks().get(indexInFile(chunk));
	}

	/**
	 * Returns the length of a chunk in bytes.
	 */
	public int length(int chunk) {
		return file(chunk).chunkLength(indexInFile(chunk));
	}

	/**
	 * Returns the chunk at an index of the file with a digest, or empty when there is no
	 * such chunk.
	 */
	public OptionalInt chunk(String digest, int index) {
		int number = this.digests.indexOf(digest);
		if (number < 0 || index < 0 || index >= this.files.get(number).chunks().size()) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(this.first[number] + index);
	}

	/**
	 * Returns the first chunk of a file by its number in {@link #files()}.
	 */
	public int firstChunkOf(int fileNumber) {
		return this.first[fileNumber];
	}

	/**
	 * Returns the chunks to fetch: one for each distinct content.
	 */
	public BitSet distinct() {
		return (BitSet) this.distinct.clone();
	}

	/**
	 * Returns the later chunks with the same content, which are copied locally once this
	 * one is held.
	 */
	public int[] duplicates(int chunk) {
		return this.duplicates.get(chunk);
	}

	private List<int[]> duplicates() {
		Map<String, List<Integer>> byHash = new HashMap<>();
		for (int chunk = 0; chunk < this.count; chunk++) {
			byHash.computeIfAbsent(hash(chunk), (hash) -> new ArrayList<>(1)).add(chunk);
		}
		List<int[]> later = new ArrayList<>(this.count);
		for (int chunk = 0; chunk < this.count; chunk++) {
			List<Integer> same = byHash.get(hash(chunk));
			boolean isFirst = same.getFirst() == chunk;
			this.distinct.set(chunk, isFirst);
			later.add(isFirst ? same.stream().skip(1).mapToInt(Integer::intValue).toArray() : new int[0]);
		}
		return later;
	}

	private int fileNumber(int chunk) {
		int number = this.first.length - 1;
		while (this.first[number] > chunk) {
			number--;
		}
		return number;
	}

}
