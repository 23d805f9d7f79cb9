package org.wisteriapost.operator.check;

import java.util.HashMap;
import java.util.Map;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.operator.bundle.BundleDraft;
import org.wisteriapost.policy.bundle.ServiceSpec;

/**
 * Reports VMs that are listed more than once. A VM has one slot and one runner, so two
 * services would reassign it back and forth.
 */
public final class DuplicateVm implements BundleCheck {

	private static final Code CODE = Code.error("bundle-vm-duplicated",
			"A VM is listed more than once in a bundle; it can serve one service.");

	@Override
	public void check(BundleDraft draft, Findings findings) {
		Map<String, String> serviceByVm = new HashMap<>();
		for (ServiceSpec service : draft.services()) {
			for (String vm : service.vms()) {
				String otherService = serviceByVm.putIfAbsent(vm, service.name());
				if (otherService != null) {
					findings.add(CODE, draft.settings().locate("service " + service.name(), "vms"),
							vm + " is listed already by " + otherService, "list it once");
				}
			}
		}
	}

}
