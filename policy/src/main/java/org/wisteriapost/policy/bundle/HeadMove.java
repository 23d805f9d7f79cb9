package org.wisteriapost.policy.bundle;

import java.util.Optional;

/**
 * Judges a roll: whether the head may move, and what became of a write that was or was
 * not confirmed.
 */
public final class HeadMove {

	private HeadMove() {
	}

	/**
	 * Returns the head that a roll writes, or empty when the head is not at the
	 * generation that the operator looked at: what that operator decided on is not what
	 * is in force any more.
	 */
	public static Optional<Head> next(Head current, long basedOn, String digest, String author, long atMillis,
			String nonce) {
		if (current.generation() != basedOn) {
			return Optional.empty();
		}
		return Optional.of(new Head(basedOn + 1, digest, author, atMillis, nonce));
	}

	/**
	 * Returns what became of a write after its confirmation was lost.
	 *
	 * The head alone does not tell: our write may have taken effect and have been rolled
	 * over since. So every roll first records the head it replaces under its generation,
	 * and that record decides.
	 * @param read the head as read back
	 * @param recorded the record of the written generation, when the head is past it
	 */
	public static Fate fate(Head written, Head read, Optional<Head> recorded) {
		if (read.nonce().equals(written.nonce())) {
			return Fate.WON;
		}
		if (read.generation() < written.generation()) {
			return Fate.NOT_WRITTEN;
		}
		if (read.generation() == written.generation()) {
			return Fate.LOST;
		}
		return recorded.map((head) -> head.nonce().equals(written.nonce()) ? Fate.WON : Fate.LOST)
			.orElse(Fate.UNDECIDED);
	}

	/**
	 * What became of a write.
	 */
	public enum Fate {

		/** It took effect. */
		WON,
		/** Another operator's roll took its generation. */
		LOST,
		/** It has not taken effect; the same write may be sent again. */
		NOT_WRITTEN,
		/** The record that would tell is not there yet; read again. */
		UNDECIDED

	}

}
