package org.wisteriapost.operator.check;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.operator.bundle.BundleDraft;
import org.wisteriapost.policy.bundle.ServiceSpec;

/**
 * Reports services that refer to a model or adapter that the bundle does not declare.
 * Their VMs would wait for the weights indefinitely.
 */
public final class UnknownWeight implements BundleCheck {

	private static final Code CODE = Code.error("bundle-weight-unknown",
			"A service names a model or adapter that the bundle does not declare.");

	@Override
	public void check(BundleDraft draft, Findings findings) {
		Set<String> declared = draft.weights().stream().map(BundleDraft.DraftWeight::name).collect(Collectors.toSet());
		for (ServiceSpec service : draft.services()) {
			if (service.kind() == ServiceSpec.Kind.MODEL) {
				report(draft, service, "model", List.of(service.model()), declared, findings);
				report(draft, service, "adapters", service.adapters(), declared, findings);
			}
		}
	}

	private static void report(BundleDraft draft, ServiceSpec service, String key, List<String> names,
			Set<String> declared, Findings findings) {
		Optional<String> unknown = names.stream().filter((name) -> !declared.contains(name)).findFirst();
		unknown.ifPresent((name) -> findings.add(CODE, draft.settings().locate("service " + service.name(), key),
				"no [weight " + name + "]", "declare it or use one of " + declared.stream().sorted().toList()));
	}

}
