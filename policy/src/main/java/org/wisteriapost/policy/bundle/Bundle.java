package org.wisteriapost.policy.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * An immutable declaration of services with their models, adapters, versions and VMs.
 *
 * @param name the name given by the operators
 * @param version the version given by the operators
 * @param services the services and where they run
 * @param weights the models and adapters that the services refer to
 */
public record Bundle(String name, String version, List<ServiceSpec> services, List<WeightFile> weights) {

	public Bundle {
		services = List.copyOf(services);
		weights = List.copyOf(weights);
	}

	public Optional<ServiceSpec> service(String name) {
		return this.services.stream().filter((spec) -> spec.name().equals(name)).findFirst();
	}

	/**
	 * Returns a model or adapter by name.
	 */
	public Optional<WeightFile> weight(String name) {
		return this.weights.stream().filter((file) -> file.name().equals(name)).findFirst();
	}

	/**
	 * Returns the files that a runner of a service needs: the model, then its adapters.
	 */
	public List<WeightFile> filesOf(ServiceSpec spec) {
		List<WeightFile> files = new ArrayList<>();
		if (spec.kind() == ServiceSpec.Kind.MODEL) {
			weight(spec.model()).ifPresent(files::add);
			spec.adapters().forEach((adapter) -> weight(adapter).ifPresent(files::add));
		}
		return files;
	}

	/**
	 * Returns the digest of the weights that serve a service; empty for a plain service.
	 * Equal content in two bundles has the same digest.
	 */
	public String weightsDigest(ServiceSpec spec) {
		if (spec.kind() == ServiceSpec.Kind.PLAIN) {
			return "";
		}
		return Digests.sha256(filesOf(spec).stream()
			.map((file) -> file.name() + "\n" + file.digest())
			.collect(Collectors.joining("\n")));
	}

}
