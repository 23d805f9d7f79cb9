package org.wisteriapost.policy.bundle;

import java.util.List;

/**
 * One service of a bundle: what it serves and where it runs.
 *
 * @param name the service as callers and agents' settings name it
 * @param kind whether engines or plain processes answer it
 * @param model the weight file's name; empty for a plain service
 * @param adapters names of adapter weight files on top of the model, sorted
 * @param places where it runs
 * @param vms the VMs that serve it; empty means every VM of the places whose agent is set
 * to the service
 * @param minReady runners in each place that must keep serving while others switch
 */
public record ServiceSpec(String name, Kind kind, String model, List<String> adapters, List<String> places,
		List<String> vms, int minReady) {

	public ServiceSpec {
		adapters = adapters.stream().sorted().toList();
		places = List.copyOf(places);
		vms = List.copyOf(vms);
	}

	/**
	 * Returns whether a VM in a place serves this service.
	 */
	public boolean runsOn(String vm, String place) {
		return this.places.contains(place) && (this.vms.isEmpty() || this.vms.contains(vm));
	}

	/**
	 * What answers a service's calls.
	 */
	public enum Kind {

		/** A model engine that serves weights. */
		MODEL,
		/** A process without weights. */
		PLAIN

	}

}
