package org.wisteriapost.policy.claim;

import org.wisteriapost.policy.claim.ClaimRecord.KeptAnswer;
import org.wisteriapost.policy.claim.ClaimRecord.State;

/**
 * One change that is wanted of a page.
 */
sealed interface ClaimWish {

	/**
	 * Claim a key.
	 *
	 * @param id the call
	 * @param key where it is kept
	 * @param call hash of the call
	 * @param nonce the writer's
	 * @param reread whether the page was read again for this wish
	 * @param unconfirmed whether a write of it may have taken effect
	 */
	record Claim(long id, ClaimKey key, String call, String nonce, boolean reread,
			boolean unconfirmed) implements ClaimWish {

		Claim afterReading() {
			return new Claim(this.id, this.key, this.call, this.nonce, true, this.unconfirmed);
		}

		Claim afterLostAnswer() {
			return new Claim(this.id, this.key, this.call, this.nonce, this.reread, true);
		}

	}

	/**
	 * Write down what became of a claimed call.
	 *
	 * @param key where it is kept
	 * @param nonce the claim's
	 * @param state what became of it
	 * @param answer the whole answer, when it is kept
	 */
	record Settle(ClaimKey key, String nonce, State state, KeptAnswer answer) implements ClaimWish {
	}

	/**
	 * Take back the claim of a call that certainly did not run and will not.
	 *
	 * @param key where it is kept
	 * @param nonce the claim's
	 */
	record Release(ClaimKey key, String nonce) implements ClaimWish {
	}

}
