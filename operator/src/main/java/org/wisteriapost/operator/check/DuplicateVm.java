package org.wisteriapost.operator.check;

import java.util.HashMap;
import java.util.Map;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.operator.bundle.Draft;
import org.wisteriapost.policy.bundle.ServiceSpec;

/**
 * Finds a VM that is listed twice: it has one slot and one runner, so the two services
 * would order it in turns.
 */
public final class DuplicateVm implements BundleCheck {

	private static final Code CODE = Code.error("bundle-vm-duplicated",
			"A VM is listed more than once in a bundle; it can serve one service.");

	@Override
	public void check(Draft draft, Findings findings) {
		Map<String, String> owner = new HashMap<>();
		for (ServiceSpec service : draft.services()) {
			for (String vm : service.vms()) {
				String other = owner.putIfAbsent(vm, service.name());
				if (other != null) {
					findings.add(CODE, draft.settings().locate("service " + service.name(), "vms"),
							vm + " is listed already by " + other, "list it once");
				}
			}
		}
	}

}
