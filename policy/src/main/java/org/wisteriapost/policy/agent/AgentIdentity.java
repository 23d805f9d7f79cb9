package org.wisteriapost.policy.agent;

/**
 * Identity of an agent.
 *
 * @param vm its VM
 * @param place its failure domain
 * @param service service that its runner provides
 * @param plain whether the runner is a plain service, without weights
 * @param nonce unique to this process; identifies its own writes
 */
public record AgentIdentity(String vm, String place, String service, boolean plain, String nonce) {

	String leaseKey() {
		return "vms/" + this.vm;
	}

	String statusKey() {
		return "status/" + this.vm;
	}

	String slotsKey() {
		return "switching/" + this.service + "/" + this.place;
	}

}
