package org.wisteriapost.policy.transfer;

import java.util.BitSet;

/**
 * Which pieces are stored, being stored, and open to be asked for.
 */
final class Holdings {

	private final int count;

	private final BitSet have = new BitSet();

	private final BitSet storing = new BitSet();

	private final BitSet open;

	private final BitSet unannounced = new BitSet();

	Holdings(Pieces pieces) {
		this.count = pieces.count();
		this.open = pieces.distinct();
	}

	BitSet have() {
		return this.have;
	}

	/**
	 * Returns what nobody has been asked for.
	 */
	BitSet open() {
		return this.open;
	}

	boolean has(int piece) {
		return this.have.get(piece);
	}

	/**
	 * Returns whether a piece still has to come.
	 */
	boolean missing(int piece) {
		return !this.have.get(piece) && !this.storing.get(piece);
	}

	boolean whole() {
		return this.have.cardinality() == this.count;
	}

	void found(BitSet held) {
		this.have.or(held);
		this.unannounced.or(held);
		this.open.andNot(held);
	}

	void reopen(int piece) {
		if (missing(piece)) {
			this.open.set(piece);
		}
	}

	void asked(int piece) {
		this.open.clear(piece);
	}

	/**
	 * Returns how many pieces are on their way into the store.
	 */
	int beingStored() {
		return this.storing.cardinality();
	}

	void storing(int piece) {
		this.open.clear(piece);
		this.storing.set(piece);
	}

	void stored(int piece) {
		this.storing.clear(piece);
		this.open.clear(piece);
		this.have.set(piece);
		this.unannounced.set(piece);
	}

	void lost(int piece) {
		this.have.clear(piece);
		this.storing.clear(piece);
		this.unannounced.clear(piece);
	}

	boolean news() {
		return !this.unannounced.isEmpty();
	}

	/**
	 * Returns what has been added since the last time.
	 */
	BitSet takeNews() {
		BitSet taken = (BitSet) this.unannounced.clone();
		this.unannounced.clear();
		return taken;
	}

}
