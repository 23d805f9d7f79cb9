package org.wisteriapost.policy.claim;

import org.wisteriapost.policy.claim.ClaimRecord.State;
import org.wisteriapost.policy.claim.ClaimRecord.StoredAnswer;

/**
 * An operation on a claim page.
 */
sealed interface ClaimOperation {

	/**
	 * Claims a key.
	 *
	 * @param id the call
	 * @param key location of the idempotency key
	 * @param call hash of the call
	 * @param nonce identifies the writer
	 * @param reread whether the page was read again for this operation
	 * @param unconfirmed whether an earlier write of this claim may have taken effect
	 */
	record Claim(long id, ClaimKey key, String call, String nonce, boolean reread,
			boolean unconfirmed) implements ClaimOperation {

		Claim withReread() {
			return new Claim(this.id, this.key, this.call, this.nonce, true, this.unconfirmed);
		}

		Claim withUnconfirmedWrite() {
			return new Claim(this.id, this.key, this.call, this.nonce, this.reread, true);
		}

	}

	/**
	 * Records the outcome of a claimed call.
	 *
	 * @param key location of the idempotency key
	 * @param nonce the claim's nonce
	 * @param state the outcome
	 * @param answer the complete answer, if it is to be stored
	 */
	record Settle(ClaimKey key, String nonce, State state, StoredAnswer answer) implements ClaimOperation {
	}

	/**
	 * Releases the claim of a call that certainly did not and will not run.
	 *
	 * @param key location of the idempotency key
	 * @param nonce the claim's nonce
	 */
	record Release(ClaimKey key, String nonce) implements ClaimOperation {
	}

}
