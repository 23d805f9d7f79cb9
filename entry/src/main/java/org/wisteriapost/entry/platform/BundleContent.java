package org.wisteriapost.entry.platform;

import java.util.Map;

/**
 * A bundle's bytes and signatures, as read; the bytes are checked against the digest by
 * whoever uses them.
 *
 * @param digest the digest it was asked for by
 * @param bytes the canonical bundle
 * @param approvals signature by operator
 */
public record BundleContent(String digest, byte[] bytes, Map<String, byte[]> approvals) {

	public BundleContent {
		approvals = Map.copyOf(approvals);
	}

}
