package org.wisteriapost.policy.bundle;

import java.util.List;

/**
 * A service of a bundle: what it serves and where it runs.
 *
 * @param name the service name used by callers and in agents' settings
 * @param kind whether model engines or plain services run it
 * @param model name of the model's weight file; empty for a plain service
 * @param adapters names of the adapters' weight files, sorted
 * @param places the failure domains in which it runs
 * @param vms the VMs that run it; empty for every VM of these failure domains whose agent
 * is configured for the service
 * @param minReady runners in each failure domain that must stay available while others
 * switch
 */
public record ServiceSpec(String name, Kind kind, String model, List<String> adapters, List<String> places,
		List<String> vms, int minReady) {

	public ServiceSpec {
		adapters = adapters.stream().sorted().toList();
		places = List.copyOf(places);
		vms = List.copyOf(vms);
	}

	/**
	 * Returns whether a VM of a failure domain runs this service.
	 */
	public boolean runsOn(String vm, String failureDomain) {
		return this.places.contains(failureDomain) && (this.vms.isEmpty() || this.vms.contains(vm));
	}

	/**
	 * The kind of runner of a service.
	 */
	public enum Kind {

		/** A model engine with weights. */
		MODEL,
		/** A plain service without weights. */
		PLAIN

	}

}
