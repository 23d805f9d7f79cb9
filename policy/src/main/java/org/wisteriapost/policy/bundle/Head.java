package org.wisteriapost.policy.bundle;

/**
 * Which bundle is in force. The platform holds one; it moves only from generation n to
 * n+1.
 *
 * @param generation 0 before the first roll
 * @param digest of the bundle's canonical bytes; empty at generation 0
 * @param author the operator who rolled it
 * @param atMillis when, in milliseconds since 1970; for people only, nothing is ordered
 * by it
 * @param nonce chosen by the writer, so that it knows its own write after a lost answer
 */
public record Head(long generation, String digest, String author, long atMillis, String nonce) {

	/** Nothing is in force yet. */
	public static final Head NONE = new Head(0, "", "", 0, "");

}
