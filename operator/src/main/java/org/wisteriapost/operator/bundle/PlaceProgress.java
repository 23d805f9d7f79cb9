package org.wisteriapost.operator.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.VmStatus;

/**
 * How far one service is in one place.
 *
 * @param service the service
 * @param place the failure domain
 * @param vms VMs that report themselves
 * @param adopted of these, have the head in force
 * @param verified of these, hold all of its weights
 * @param serving of these, serve exactly its weights and take calls
 * @param failing VMs by code of what stops them
 */
record PlaceProgress(String service, String place, int vms, int adopted, int verified, int serving,
		Map<String, Long> failing) {

	/**
	 * Returns the progress of every service and place of a bundle, in its order.
	 * @param staying the VMs that are there and not about to go
	 */
	static List<PlaceProgress> of(Head head, Bundle bundle, List<VmStatus> statuses, Set<String> staying) {
		List<PlaceProgress> all = new ArrayList<>();
		for (ServiceSpec spec : bundle.services()) {
			String weights = bundle.weightsDigest(spec);
			for (String place : spec.places()) {
				List<VmStatus> here = statuses.stream()
					.filter((vm) -> vm.service().equals(spec.name()) && vm.place().equals(place))
					.filter((vm) -> spec.runsOn(vm.vm(), place) && staying.contains(vm.vm()))
					.toList();
				all.add(of(head, spec.name(), place, weights, here));
			}
		}
		return all;
	}

	boolean done() {
		return this.serving == this.vms;
	}

	@Override
	public String toString() {
		String failures = this.failing.isEmpty() ? "" : " failing " + this.failing;
		return "%s %s: %d VMs, %d adopted, %d verified, %d serving%s".formatted(this.service, this.place, this.vms,
				this.adopted, this.verified, this.serving, failures);
	}

	private static PlaceProgress of(Head head, String service, String place, String weights, List<VmStatus> here) {
		List<VmStatus> adopted = here.stream().filter((vm) -> vm.generation() == head.generation()).toList();
		Map<String, Long> failing = here.stream()
			.filter((vm) -> !vm.failing().isEmpty())
			.collect(Collectors.groupingBy(VmStatus::failing, TreeMap::new, Collectors.counting()));
		return new PlaceProgress(service, place, here.size(), adopted.size(),
				count(adopted, (vm) -> vm.verified() == vm.total()),
				count(adopted, (vm) -> vm.admitting() && vm.serving().equals(weights)), failing);
	}

	private static int count(List<VmStatus> vms, java.util.function.Predicate<VmStatus> matches) {
		return (int) vms.stream().filter(matches).count();
	}

}
