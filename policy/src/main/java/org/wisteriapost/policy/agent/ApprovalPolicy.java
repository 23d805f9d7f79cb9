package org.wisteriapost.policy.agent;

import java.util.Map;

import org.wisteriapost.policy.bundle.Approvals;

/**
 * The operators whose approvals are valid, and the number of approvals required.
 *
 * @param publicKeys public keys by operator, base64 of the X.509 encoding
 * @param requiredApprovals number of distinct operators that must approve
 */
public record ApprovalPolicy(Map<String, String> publicKeys, int requiredApprovals) {

	public ApprovalPolicy {
		publicKeys = Map.copyOf(publicKeys);
	}

	boolean isApproved(String digest, Map<String, byte[]> signatures) {
		return Approvals.countedOperators(digest, signatures, this.publicKeys).size() >= this.requiredApprovals;
	}

}
