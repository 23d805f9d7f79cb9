package org.wisteriapost.policy.bundle;

import java.util.Optional;

/**
 * Decides whether the head may move to the next generation, and determines the outcome of
 * a write whose response was lost.
 */
public final class HeadMove {

	private HeadMove() {
	}

	/**
	 * Returns the head to write, or empty when the current head is not at the generation
	 * that the operator based the decision on.
	 */
	public static Optional<Head> next(Head current, long basedOn, String digest, String author, long atMillis,
			String nonce) {
		if (current.generation() != basedOn) {
			return Optional.empty();
		}
		return Optional.of(new Head(basedOn + 1, digest, author, atMillis, nonce));
	}

	/**
	 * Returns the outcome of a write whose response was lost.
	 *
	 * The current head alone does not suffice, since the write may have succeeded and
	 * been superseded. Therefore every write first records the head that it replaces
	 * under its generation, and that record decides.
	 * @param written the head that was written
	 * @param read the head as read back
	 * @param recorded the record of the written generation, when the head is past it
	 */
	public static Outcome outcome(Head written, Head read, Optional<Head> recorded) {
		if (read.nonce().equals(written.nonce())) {
			return Outcome.WON;
		}
		if (read.generation() < written.generation()) {
			return Outcome.NOT_WRITTEN;
		}
		if (read.generation() == written.generation()) {
			return Outcome.LOST;
		}
		return recorded.map((head) -> head.nonce().equals(written.nonce()) ? Outcome.WON : Outcome.LOST)
			.orElse(Outcome.UNDECIDED);
	}

	/**
	 * The outcome of a write.
	 */
	public enum Outcome {

		/** The write succeeded. */
		WON,
		/** Another write won the generation. */
		LOST,
		/** The write has not been applied; it may be retried. */
		NOT_WRITTEN,
		/** The record of the generation is not available yet; read again. */
		UNDECIDED

	}

}
