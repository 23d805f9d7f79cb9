package org.wisteriapost.entry.platform;

import java.util.Map;

/**
 * The bytes and signatures of a bundle, unverified: the user must compare the bytes with
 * the digest.
 *
 * @param digest the digest by which the bundle was requested
 * @param bytes the canonical encoding of the bundle
 * @param approvals the signatures by operator
 */
public record BundleContent(String digest, byte[] bytes, Map<String, byte[]> approvals) {

	public BundleContent {
		approvals = Map.copyOf(approvals);
	}

}
