package org.wisteriapost.entry.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.entry.platform.BundleContent;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.ServiceSpec;

/**
 * The bundle in force as this entry knows it. Its generation never goes down, whoever
 * says so: a neighbour that lags, or a platform that was put back from a copy.
 */
final class HeadTracker {

	private final Invariants invariants;

	private Known current = Known.NONE;

	private Optional<Known> wanted = Optional.empty();

	private Optional<Bundle> bundle = Optional.empty();

	private Optional<BundleContent> content = Optional.empty();

	// For each service the digest that runners may still answer with until all of them
	// have switched once.
	private Map<String, String> previous = new HashMap<>();

	private long confirmedNanos;

	private boolean confirmed;

	HeadTracker(Invariants invariants) {
		this.invariants = invariants;
	}

	/**
	 * Takes a head that the platform or a neighbour named; returns whether its bundle is
	 * now wanted.
	 * @param fromPlatform whether the platform itself said so just now
	 */
	boolean learn(long generation, String digest, boolean fromPlatform, long nowNanos) {
		if (generation == this.current.generation && generation > 0) {
			boolean same = this.invariants.holds(digest.equals(this.current.digest), "one-winner",
					"generation " + generation + " is " + this.current.digest + ", heard " + digest);
			if (same && fromPlatform) {
				this.confirmed = true;
				this.confirmedNanos = nowNanos;
			}
			return false;
		}
		if (generation <= this.wanted.map(Known::generation).orElse(this.current.generation)) {
			return false;
		}
		this.wanted = Optional.of(new Known(generation, digest, fromPlatform));
		return true;
	}

	/**
	 * Takes a bundle; returns whether it is now in force.
	 */
	boolean take(BundleContent read, long nowNanos) {
		if (this.wanted.isEmpty() || !this.wanted.get().digest.equals(read.digest())
				|| !Digests.sha256(read.bytes()).equals(read.digest())) {
			return false;
		}
		Known next = this.wanted.get();
		if (!this.invariants.holds(next.generation > this.current.generation, "no-revert",
				"generation " + this.current.generation + " to " + next.generation)) {
			return false;
		}
		Bundle now = BundleCodec.bundle(read.bytes());
		this.previous = predecessors(now);
		this.current = next;
		this.wanted = Optional.empty();
		this.bundle = Optional.of(now);
		this.content = Optional.of(read);
		this.confirmed = next.fromPlatform;
		this.confirmedNanos = nowNanos;
		return true;
	}

	/**
	 * Stops accepting the predecessor's weights of a service.
	 */
	void switched(String service) {
		this.previous.remove(service);
	}

	/**
	 * Returns the services of which runners may still answer with the predecessor's
	 * weights, with these.
	 */
	Map<String, String> previous() {
		return Map.copyOf(this.previous);
	}

	/**
	 * Returns for each service the digests an answer may come from.
	 */
	Map<String, Set<String>> digests() {
		Map<String, Set<String>> digests = new HashMap<>();
		this.bundle.ifPresent((now) -> now.services()
			.forEach((spec) -> digests.computeIfAbsent(spec.name(), (name) -> new HashSet<>())
				.add(now.weightsDigest(spec))));
		this.previous.forEach((service, digest) -> digests.get(service).add(digest));
		return digests;
	}

	/**
	 * Returns the digest whose bundle is not here yet.
	 */
	Optional<String> wanted() {
		return this.wanted.map(Known::digest);
	}

	/**
	 * Returns the bundle in force with its signatures, when it has this digest.
	 */
	Optional<BundleContent> content(String digest) {
		return this.content.filter((held) -> held.digest().equals(digest));
	}

	Optional<Bundle> bundle() {
		return this.bundle;
	}

	long generation() {
		return this.current.generation;
	}

	/**
	 * Returns the head as it is told to neighbours.
	 */
	org.wisteriapost.protocol.wire.Head wire(long nowNanos) {
		return org.wisteriapost.protocol.wire.Head.newBuilder()
			.setGeneration(this.current.generation)
			.setDigest(this.current.digest)
			.setConfirmed(this.confirmed)
			.setConfirmedAgeMillis(TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - this.confirmedNanos)))
			.build();
	}

	private Map<String, String> predecessors(Bundle next) {
		Map<String, String> digests = new HashMap<>();
		this.bundle.ifPresent((old) -> old.services().forEach((spec) -> {
			String digest = old.weightsDigest(spec);
			boolean moves = next.service(spec.name())
				.filter((now) -> now.kind() == ServiceSpec.Kind.MODEL)
				.map(next::weightsDigest)
				.filter((now) -> !now.equals(digest))
				.isPresent();
			if (moves && spec.kind() == ServiceSpec.Kind.MODEL) {
				digests.put(spec.name(), digest);
			}
		}));
		return digests;
	}

	private record Known(long generation, String digest, boolean fromPlatform) {

		private static final Known NONE = new Known(0, "", false);

	}

}
