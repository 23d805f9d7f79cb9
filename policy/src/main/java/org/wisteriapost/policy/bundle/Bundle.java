package org.wisteriapost.policy.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One immutable declaration of models, adapters, versions and where they run.
 *
 * @param name what operators call it
 * @param version the operators' version of it
 * @param services what runs where
 * @param weights the models and adapters that the services name
 */
public record Bundle(String name, String version, List<ServiceSpec> services, List<WeightFile> weights) {

	public Bundle {
		services = List.copyOf(services);
		weights = List.copyOf(weights);
	}

	/**
	 * Returns a service by name.
	 */
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
	 * Returns the files a runner of a service needs: the model first, then its adapters.
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
	 * Returns the digest that an answer of a service must have been computed with, empty
	 * for a plain service. Two bundles that serve the same content share it.
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
