package org.wisteriapost.policy.claim;

/**
 * What became of the wish to claim a key.
 */
public sealed interface ClaimVerdict {

	/** Returns the call that asked. */
	long id();

	/**
	 * The key is this call's: it may run, once.
	 *
	 * @param id the call
	 */
	record Claimed(long id) implements ClaimVerdict {
	}

	/**
	 * The key was claimed before; this call must not run.
	 *
	 * @param id the call
	 * @param first what is kept of the first
	 * @param same whether the first call was the same call
	 */
	record Repeated(long id, ClaimRecord first, boolean same) implements ClaimVerdict {
	}

	/**
	 * The key's slot of time is no longer kept.
	 *
	 * @param id the call
	 */
	record Expired(long id) implements ClaimVerdict {
	}

	/**
	 * The key is not claimed for this call and will not be; this call did not run.
	 *
	 * @param id the call
	 * @param full whether the page has no room; otherwise the platform does not answer
	 */
	record Failed(long id, boolean full) implements ClaimVerdict {
	}

}
