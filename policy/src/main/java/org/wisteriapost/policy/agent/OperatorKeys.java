package org.wisteriapost.policy.agent;

import java.util.Map;

import org.wisteriapost.policy.bundle.Approvals;

/**
 * Whose approvals count, and how many are needed.
 *
 * @param publicKeys by operator, base64 of the X.509 form
 * @param needed how many different operators
 */
public record OperatorKeys(Map<String, String> publicKeys, int needed) {

	public OperatorKeys {
		publicKeys = Map.copyOf(publicKeys);
	}

	boolean approve(String digest, Map<String, byte[]> signatures) {
		return Approvals.counted(digest, signatures, this.publicKeys).size() >= this.needed;
	}

}
