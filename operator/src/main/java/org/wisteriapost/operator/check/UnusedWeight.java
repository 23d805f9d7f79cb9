package org.wisteriapost.operator.check;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.operator.bundle.Draft;
import org.wisteriapost.policy.bundle.ServiceSpec;

/**
 * Finds a declared weight that no service names: most often a service names an older one
 * by mistake.
 */
public final class UnusedWeight implements BundleCheck {

	private static final Code CODE = Code.error("bundle-weight-unused",
			"A bundle declares a model or adapter that no service names.");

	@Override
	public void check(Draft draft, Findings findings) {
		for (Draft.DraftWeight weight : draft.weights()) {
			if (draft.services().stream().noneMatch((service) -> names(service, weight.name()))) {
				findings.add(CODE, draft.settings().locate("weight " + weight.name(), ""),
						"no service names " + weight.name(), "name it in a service or remove it");
			}
		}
	}

	private static boolean names(ServiceSpec service, String weight) {
		return service.model().equals(weight) || service.adapters().contains(weight);
	}

}
