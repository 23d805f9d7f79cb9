package org.wisteriapost.policy.agent;

/**
 * Identity of an agent.
 *
 * @param vm its VM
 * @param failureDomain its failure domain
 * @param service service that its runner provides
 * @param plainService whether the runner is a plain service, without weights
 * @param nonce unique to this process; identifies its own writes
 */
public record AgentIdentity(String vm, String failureDomain, String service, boolean plainService, String nonce) {

	String leaseKey() {
		return "vms/" + this.vm;
	}

	String statusKey() {
		return "status/" + this.vm;
	}

	String slotsKey() {
		return "switching/" + this.service + "/" + this.failureDomain;
	}

}
