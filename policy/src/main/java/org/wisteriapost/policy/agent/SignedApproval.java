package org.wisteriapost.policy.agent;

/**
 * One operator's approval of a bundle, unchecked.
 *
 * @param operator the name in the settings
 * @param signature Ed25519 over the digest's ASCII bytes
 */
public record SignedApproval(String operator, byte[] signature) {
}
