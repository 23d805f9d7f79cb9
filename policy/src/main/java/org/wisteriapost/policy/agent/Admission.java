package org.wisteriapost.policy.agent;

/**
 * What the gate lets through now.
 *
 * @param admitting whether new calls are taken
 * @param leaving whether the VM is to go
 * @param weightsDigest what calls must ask for; empty for a plain service
 * @param capacity calls at once
 */
record Admission(boolean admitting, boolean leaving, String weightsDigest, int capacity) {

	static final Admission CLOSED = new Admission(false, false, "", 0);

}
