package org.wisteriapost.policy.claim;

/**
 * Actions that {@link ClaimTable} requests from the I/O layer.
 */
public sealed interface ClaimEffect {

	/**
	 * Reads an object; answered by {@link ClaimTable#onRead} or
	 * {@link ClaimTable#onFailure}.
	 *
	 * @param object the object's key in the platform
	 */
	record Read(String object) implements ClaimEffect {
	}

	/**
	 * Writes an object if its version is unchanged; answered by
	 * {@link ClaimTable#onWritten}, by {@link ClaimTable#onRead} with the current value
	 * on a conflict, or by {@link ClaimTable#onFailure}.
	 *
	 * @param object the object's key in the platform
	 * @param value the new value
	 * @param version the version that is replaced, 0 if there is none
	 */
	record Write(String object, byte[] value, long version) implements ClaimEffect {
	}

	/**
	 * Completes the claim of a call.
	 *
	 * @param result the outcome
	 */
	record Complete(ClaimResult result) implements ClaimEffect {
	}

}
