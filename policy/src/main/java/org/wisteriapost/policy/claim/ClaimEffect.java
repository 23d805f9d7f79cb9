package org.wisteriapost.policy.claim;

/**
 * What the I/O layer must do for claims.
 */
public sealed interface ClaimEffect {

	/**
	 * Read an object; answered by {@link ClaimTable#read} or {@link ClaimTable#failed}.
	 *
	 * @param object the platform's key
	 */
	record Read(String object) implements ClaimEffect {
	}

	/**
	 * Write an object under a condition; answered by {@link ClaimTable#written},
	 * {@link ClaimTable#read} with what is there instead, or {@link ClaimTable#failed}.
	 *
	 * @param object the platform's key
	 * @param value the new value
	 * @param version the version it replaces, 0 when there is none
	 */
	record Write(String object, byte[] value, long version) implements ClaimEffect {
	}

	/**
	 * Tell a call what became of its claim.
	 *
	 * @param verdict what
	 */
	record Tell(ClaimVerdict verdict) implements ClaimEffect {
	}

}
