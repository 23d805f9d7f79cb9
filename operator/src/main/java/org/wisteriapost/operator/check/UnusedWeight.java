package org.wisteriapost.operator.check;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.operator.bundle.BundleDraft;
import org.wisteriapost.policy.bundle.ServiceSpec;

/**
 * Reports weights that no service uses. The usual cause is a service that still refers to
 * an older weight.
 */
public final class UnusedWeight implements BundleCheck {

	private static final Code CODE = Code.error("bundle-weight-unused",
			"A bundle declares a model or adapter that no service names.");

	@Override
	public void check(BundleDraft draft, Findings findings) {
		for (BundleDraft.DraftWeight weight : draft.weights()) {
			if (draft.services().stream().noneMatch((service) -> uses(service, weight.name()))) {
				findings.add(CODE, draft.settings().locate("weight " + weight.name(), ""),
						"no service names " + weight.name(), "name it in a service or remove it");
			}
		}
	}

	private static boolean uses(ServiceSpec service, String weight) {
		return service.model().equals(weight) || service.adapters().contains(weight);
	}

}
