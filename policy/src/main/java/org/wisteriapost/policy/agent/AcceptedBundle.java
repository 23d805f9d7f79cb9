package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.WeightFile;

/**
 * A bundle whose content digest and approvals were verified, with the parts that concern
 * this agent.
 *
 * @param generation generation of the head that references it
 * @param digest digest of its content
 * @param content its canonical bytes, forwarded to peers
 * @param signatures signatures by operator, forwarded to peers
 * @param serviceSpec this agent's service, empty when the bundle does not assign it to
 * this VM
 * @param files the weight files that the service's runner needs; empty for a plain
 * service
 * @param weightsDigest combined digest of the files; empty for a plain service
 */
record AcceptedBundle(long generation, String digest, byte[] content, Map<String, byte[]> signatures,
		Optional<ServiceSpec> serviceSpec, List<WeightFile> files, String weightsDigest) {

	static AcceptedBundle of(AgentIdentity identity, long generation, String digest, byte[] content,
			Map<String, byte[]> signatures, Bundle bundle) {
		Optional<ServiceSpec> spec = bundle.service(identity.service())
			.filter((found) -> found.runsOn(identity.vm(), identity.failureDomain()))
			.filter((found) -> identity.plainService() == (found.kind() == ServiceSpec.Kind.PLAIN));
		return new AcceptedBundle(generation, digest, content, signatures, spec,
				spec.map(bundle::filesOf).orElse(List.of()), spec.map(bundle::weightsDigest).orElse(""));
	}

	AcceptedBundle withGeneration(long newGeneration) {
		return new AcceptedBundle(newGeneration, this.digest, this.content, this.signatures, this.serviceSpec,
				this.files, this.weightsDigest);
	}

}
