package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.WeightFile;

/**
 * A bundle whose content and approvals were checked, and what it asks of this agent.
 *
 * @param generation of the head that named it
 * @param digest of its content
 * @param content its canonical bytes, to pass on
 * @param signatures of its operators, to pass on
 * @param spec this agent's service, empty when the bundle does not run it on this VM
 * @param files what the service's runner needs; empty for a plain service
 * @param weightsDigest of the files together; empty for a plain service
 */
record AcceptedBundle(long generation, String digest, byte[] content, Map<String, byte[]> signatures,
		Optional<ServiceSpec> spec, List<WeightFile> files, String weightsDigest) {

	static AcceptedBundle of(AgentIdentity self, long generation, String digest, byte[] content,
			Map<String, byte[]> signatures, Bundle bundle) {
		Optional<ServiceSpec> spec = bundle.service(self.service())
			.filter((found) -> found.runsOn(self.vm(), self.place()))
			.filter((found) -> self.plain() == (found.kind() == ServiceSpec.Kind.PLAIN));
		return new AcceptedBundle(generation, digest, content, signatures, spec,
				spec.map(bundle::filesOf).orElse(List.of()), spec.map(bundle::weightsDigest).orElse(""));
	}

	AcceptedBundle at(long higher) {
		return new AcceptedBundle(higher, this.digest, this.content, this.signatures, this.spec, this.files,
				this.weightsDigest);
	}

}
