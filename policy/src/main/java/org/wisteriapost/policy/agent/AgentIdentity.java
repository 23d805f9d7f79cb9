package org.wisteriapost.policy.agent;

/**
 * Which agent this is.
 *
 * @param vm its VM
 * @param place its failure domain
 * @param service what its runner serves
 * @param plain whether the runner is a plain service, without weights
 * @param nonce unique to this process, so that it knows its own writes
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
