package org.wisteriapost.policy.claim;

/**
 * Outcome of an attempt to claim a key.
 */
public sealed interface ClaimResult {

	/** Returns the id of the call. */
	long id();

	/**
	 * The key is claimed for this call, which may run once.
	 *
	 * @param id the call
	 */
	record Claimed(long id) implements ClaimResult {
	}

	/**
	 * The key was claimed before; this call must not run.
	 *
	 * @param id the call
	 * @param first the record of the first call
	 * @param sameCall whether the first call was the same as this one
	 */
	record AlreadyClaimed(long id, ClaimRecord first, boolean sameCall) implements ClaimResult {
	}

	/**
	 * The key was issued in a time slot whose records have expired.
	 *
	 * @param id the call
	 */
	record Expired(long id) implements ClaimResult {
	}

	/**
	 * The key is not claimed, and this call did not run.
	 *
	 * @param id the call
	 * @param pageFull whether the page is full; otherwise the platform is unavailable
	 */
	record Failed(long id, boolean pageFull) implements ClaimResult {
	}

}
