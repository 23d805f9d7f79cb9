package org.wisteriapost.policy.transfer;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.wisteriapost.policy.bundle.WeightFile;

/**
 * The chunks of several files under one numbering. Immutable.
 */
public final class Pieces {

	private final List<WeightFile> files;

	private final List<String> digests;

	private final int[] first;

	private final int count;

	private final List<int[]> twins;

	private final BitSet distinct;

	private Pieces(List<WeightFile> files) {
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
		this.twins = twins();
	}

	/**
	 * Returns the numbering of some files, in their order. A file that stands twice is
	 * taken once.
	 */
	public static Pieces of(List<WeightFile> files) {
		Map<String, WeightFile> once = new HashMap<>();
		return new Pieces(files.stream().filter((file) -> once.putIfAbsent(file.digest(), file) == null).toList());
	}

	/**
	 * Returns how many pieces there are.
	 */
	public int count() {
		return this.count;
	}

	/**
	 * Returns the files, each once.
	 */
	public List<WeightFile> files() {
		return this.files;
	}

	/**
	 * Returns the file that a piece belongs to.
	 */
	public WeightFile file(int piece) {
		return this.files.get(fileNumber(piece));
	}

	/**
	 * Returns the digest of the file that a piece belongs to.
	 */
	public String digest(int piece) {
		return this.digests.get(fileNumber(piece));
	}

	/**
	 * Returns the digest of a file by its number in {@link #files()}.
	 */
	public String digestOfFile(int number) {
		return this.digests.get(number);
	}

	/**
	 * Returns a piece's index within its file.
	 */
	public int index(int piece) {
		return piece - this.first[fileNumber(piece)];
	}

	/**
	 * Returns a piece's SHA-256, lower-case hex.
	 */
	public String hash(int piece) {
		return file(piece).chunks().get(index(piece));
	}

	/**
	 * Returns a piece's length in bytes.
	 */
	public int length(int piece) {
		return file(piece).chunkLength(index(piece));
	}

	/**
	 * Returns the piece at an index of the file with a digest; empty when it is not one
	 * of these.
	 */
	public OptionalInt piece(String digest, int index) {
		int number = this.digests.indexOf(digest);
		if (number < 0 || index < 0 || index >= this.files.get(number).chunks().size()) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(this.first[number] + index);
	}

	/**
	 * Returns the first piece of a file by its number in {@link #files()}.
	 */
	public int firstOf(int number) {
		return this.first[number];
	}

	/**
	 * Returns the pieces to fetch: one for each content.
	 */
	public BitSet distinct() {
		return (BitSet) this.distinct.clone();
	}

	/**
	 * Returns the later pieces of the same content, copied locally once a piece is held.
	 */
	public int[] twins(int piece) {
		return this.twins.get(piece);
	}

	private List<int[]> twins() {
		Map<String, List<Integer>> byHash = new HashMap<>();
		for (int piece = 0; piece < this.count; piece++) {
			byHash.computeIfAbsent(hash(piece), (hash) -> new ArrayList<>(1)).add(piece);
		}
		List<int[]> later = new ArrayList<>(this.count);
		for (int piece = 0; piece < this.count; piece++) {
			List<Integer> same = byHash.get(hash(piece));
			boolean leads = same.getFirst() == piece;
			this.distinct.set(piece, leads);
			later.add(leads ? same.stream().skip(1).mapToInt(Integer::intValue).toArray() : new int[0]);
		}
		return later;
	}

	private int fileNumber(int piece) {
		int number = this.first.length - 1;
		while (this.first[number] > piece) {
			number--;
		}
		return number;
	}

}
