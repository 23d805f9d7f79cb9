package org.wisteriapost.policy.agent;

/**
 * The admission rules of the {@link CallGate} at one time.
 *
 * @param admitting whether new calls are accepted
 * @param leaving whether the VM is draining before it shuts down
 * @param weightsDigest weights that a call must ask for; empty for a plain service
 * @param capacity maximum number of concurrent calls
 */
record AdmissionRules(boolean admitting, boolean leaving, String weightsDigest, int capacity) {

	static final AdmissionRules CLOSED = new AdmissionRules(false, false, "", 0);

}
