package org.wisteriapost.policy.claim;

import java.util.List;

/**
 * The stored record of one key. Only the writer of a claim, identified by its nonce, may
 * settle or release it.
 *
 * @param key hash of organisation and key
 * @param call hash of the call that the key was first used for
 * @param nonce identifies the writer, unique per claim
 * @param state what is known about the execution of the call
 * @param answer the complete first answer if the state is {@link State#ANSWERED}
 */
public record ClaimRecord(String key, String call, String nonce, State state, StoredAnswer answer) {

	/**
	 * Returns the record of a call that has not been sent.
	 */
	static ClaimRecord claimed(String key, String call, String nonce) {
		return new ClaimRecord(key, call, nonce, State.CLAIMED, StoredAnswer.NONE);
	}

	/**
	 * Returns this record with the outcome of the call.
	 */
	ClaimRecord withOutcome(State outcome, StoredAnswer storedAnswer) {
		return new ClaimRecord(this.key, this.call, this.nonce, outcome, storedAnswer);
	}

	/**
	 * Returns whether this record is the claim of the given key by the given writer.
	 */
	boolean isOwnedBy(String key, String nonce) {
		return this.key.equals(key) && this.nonce.equals(nonce);
	}

	/**
	 * What is known about the execution of a claimed call.
	 */
	public enum State {

		/** The call may run, be running, or have run while its writer failed. */
		CLAIMED,
		/** The call ran; its answer is stored. */
		ANSWERED,
		/** The call ran; its answer was too large to store. */
		RAN,
		/** The answer was incomplete, so that the call may have run. */
		UNKNOWN

	}

	/**
	 * A complete answer.
	 *
	 * @param status the HTTP status
	 * @param headers names and values, alternating
	 * @param body the body
	 */
	public record StoredAnswer(int status, List<String> headers, byte[] body) {

		/** The absence of a stored answer. */
		public static final StoredAnswer NONE = new StoredAnswer(0, List.of(), new byte[0]);

		public StoredAnswer {
			headers = List.copyOf(headers);
		}

		/**
		 * Returns the approximate encoded size in a page.
		 */
		int encodedBytes() {
			return this.body.length * 4 / 3 + this.headers.stream().mapToInt((text) -> text.length() + 3).sum();
		}

	}

}
