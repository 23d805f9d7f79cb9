package org.wisteriapost.policy.claim;

import java.util.List;

/**
 * What is kept of one key. Who wrote it, the nonce says: only the writer of a claim may
 * settle or release it.
 *
 * @param key hash of organisation and key
 * @param call hash of the call that the key was first used for
 * @param nonce the writer's, new for each claim
 * @param state what is known of the run
 * @param answer the whole first answer, when {@link State#ANSWERED}
 */
public record ClaimRecord(String key, String call, String nonce, State state, KeptAnswer answer) {

	/**
	 * Returns a claim of a call that has not been sent.
	 */
	static ClaimRecord claimed(String key, String call, String nonce) {
		return new ClaimRecord(key, call, nonce, State.CLAIMED, KeptAnswer.NONE);
	}

	/**
	 * Returns this claim with what became of it.
	 */
	ClaimRecord settled(State next, KeptAnswer kept) {
		return new ClaimRecord(this.key, this.call, this.nonce, next, kept);
	}

	/**
	 * Returns whether this is the claim of one writer.
	 */
	boolean isOf(String key, String nonce) {
		return this.key.equals(key) && this.nonce.equals(nonce);
	}

	/**
	 * What is known of a claimed call.
	 */
	public enum State {

		/** It may be about to run, run, or have run with its writer dead. */
		CLAIMED,
		/** It ran; the answer is kept. */
		ANSWERED,
		/** It ran; the answer was too large to keep. */
		RAN,
		/** Its answer was cut; it may have run. */
		UNKNOWN

	}

	/**
	 * A whole answer.
	 *
	 * @param status the HTTP status
	 * @param headers names and values, alternating
	 * @param body the body
	 */
	public record KeptAnswer(int status, List<String> headers, byte[] body) {

		/** No answer is kept. */
		public static final KeptAnswer NONE = new KeptAnswer(0, List.of(), new byte[0]);

		public KeptAnswer {
			headers = List.copyOf(headers);
		}

		/**
		 * Returns the size in bytes that it takes in a page, roughly.
		 */
		int size() {
			return this.body.length * 4 / 3 + this.headers.stream().mapToInt((text) -> text.length() + 3).sum();
		}

	}

}
