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
 * Rollout progress of one service in one failure domain.
 *
 * @param service the service
 * @param failureDomain the failure domain
 * @param vms number of VMs that report a status
 * @param adopted number of these that have adopted the active head
 * @param verified number of adopted VMs that have verified all of its weights
 * @param serving number of adopted VMs that serve exactly its weights and admit requests
 * @param failing number of VMs by the code of the failure that blocks them
 */
record RolloutProgress(String service, String failureDomain, int vms, int adopted, int verified, int serving,
		Map<String, Long> failing) {

	/**
	 * Returns the progress of all services of a bundle by failure domain, in bundle
	 * order.
	 * @param activeVms the VMs that are in the VM list and not leaving
	 */
	static List<RolloutProgress> of(Head head, Bundle bundle, List<VmStatus> statuses, Set<String> activeVms) {
		List<RolloutProgress> all = new ArrayList<>();
		for (ServiceSpec spec : bundle.services()) {
			String weights = bundle.weightsDigest(spec);
			for (String failureDomain : spec.places()) {
				List<VmStatus> reporting = statuses.stream()
					.filter((vm) -> vm.service().equals(spec.name()) && vm.place().equals(failureDomain))
					.filter((vm) -> spec.runsOn(vm.vm(), failureDomain) && activeVms.contains(vm.vm()))
					.toList();
				all.add(of(head, spec.name(), failureDomain, weights, reporting));
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
		return "%s %s: %d VMs, %d adopted, %d verified, %d serving%s".formatted(this.service, this.failureDomain,
				this.vms, this.adopted, this.verified, this.serving, failures);
	}

	private static RolloutProgress of(Head head, String service, String failureDomain, String weights,
			List<VmStatus> statuses) {
		List<VmStatus> adopted = statuses.stream().filter((vm) -> vm.generation() == head.generation()).toList();
		Map<String, Long> failing = statuses.stream()
			.filter((vm) -> !vm.failing().isEmpty())
			.collect(Collectors.groupingBy(VmStatus::failing, TreeMap::new, Collectors.counting()));
		return new RolloutProgress(service, failureDomain, statuses.size(), adopted.size(),
				count(adopted, (vm) -> vm.verified() == vm.total()),
				count(adopted, (vm) -> vm.admitting() && vm.serving().equals(weights)), failing);
	}

	private static int count(List<VmStatus> vms, java.util.function.Predicate<VmStatus> matches) {
		return (int) vms.stream().filter(matches).count();
	}

}
