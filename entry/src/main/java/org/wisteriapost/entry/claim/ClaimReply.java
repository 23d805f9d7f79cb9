package org.wisteriapost.entry.claim;

import java.util.Optional;

/**
 * The result of reading or writing a claim object in the platform.
 */
public sealed interface ClaimReply {

	/** Returns the object's key in the platform. */
	String object();

	/**
	 * The object's current state.
	 *
	 * @param object the object's key
	 * @param value the value, empty if the object does not exist
	 * @param version the version, 0 if the object does not exist
	 * @param conflict whether a conditional write failed because of this state
	 */
	record Found(String object, Optional<byte[]> value, long version, boolean conflict) implements ClaimReply {
	}

	/**
	 * A write took effect.
	 *
	 * @param object the object's key
	 * @param version the new version
	 */
	record Written(String object, long version) implements ClaimReply {
	}

	/**
	 * The platform did not answer.
	 *
	 * @param object the object's key
	 * @param unconfirmed whether a write may have taken effect
	 */
	record Failed(String object, boolean unconfirmed) implements ClaimReply {
	}

}
