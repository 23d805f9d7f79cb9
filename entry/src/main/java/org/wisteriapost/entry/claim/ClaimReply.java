package org.wisteriapost.entry.claim;

import java.util.Optional;

/**
 * What the platform answered to a read or write of a claim object.
 */
public sealed interface ClaimReply {

	/** Returns the platform's key. */
	String object();

	/**
	 * The object as it is there.
	 *
	 * @param object the platform's key
	 * @param value its value, empty when it does not exist
	 * @param version its version, 0 when it does not exist
	 * @param conflict whether a write found it instead of what it expected
	 */
	record Found(String object, Optional<byte[]> value, long version, boolean conflict) implements ClaimReply {
	}

	/**
	 * A write took effect.
	 *
	 * @param object the platform's key
	 * @param version its new version
	 */
	record Written(String object, long version) implements ClaimReply {
	}

	/**
	 * There was no answer.
	 *
	 * @param object the platform's key
	 * @param unconfirmed whether a write may have taken effect
	 */
	record Failed(String object, boolean unconfirmed) implements ClaimReply {
	}

}
