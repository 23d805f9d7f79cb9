package org.wisteriapost.policy.bundle;

/**
 * The active bundle of the platform. The head moves only from generation n to n+1.
 *
 * @param generation 0 before the first bundle is rolled out
 * @param digest digest of the bundle's canonical bytes; empty at generation 0
 * @param author the operator who rolled it out
 * @param atMillis when it was rolled out, in milliseconds since 1970; informational, not
 * used for ordering
 * @param nonce chosen by the writer, so that it recognises its own write when the
 * response was lost
 */
public record Head(long generation, String digest, String author, long atMillis, String nonce) {

	/** No bundle is active yet. */
	public static final Head NONE = new Head(0, "", "", 0, "");

}
