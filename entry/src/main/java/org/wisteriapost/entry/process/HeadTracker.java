package org.wisteriapost.entry.process;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.entry.platform.BundleContent;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.routing.LastConfirmedTime;
import org.wisteriapost.policy.routing.RejectionGuard;
import org.wisteriapost.policy.routing.RejectionPermit;

/**
 * The bundle in force as this entry knows it. Its generation never goes down, whoever
 * says so: a neighbour that lags, or a platform that was put back from a copy.
 */
final class HeadTracker {

	// Agents report every second.
	private static final long FIRST_REPORTS_NANOS = TimeUnit.SECONDS.toNanos(3);

	// Until a bundle that operators have rolled is to be in force at every entry.
	private static final Duration IN_FORCE = Duration.ofSeconds(8);

	private final Invariants invariants;

	private final RejectionGuard guard = RejectionGuard.of(IN_FORCE);

	private Known current = Known.NONE;

	private Optional<Known> wanted = Optional.empty();

	private Optional<Bundle> bundle = Optional.empty();

	private Optional<BundleContent> content = Optional.empty();

	// For each service the digest that runners may still answer with until all of them
	// have switched once.
	private Map<String, Set<String>> previous = new HashMap<>();

	private final Set<String> settled = new HashSet<>();

	private long takenNanos;

	// As of when the platform is known to have held the current head.
	private final LastConfirmedTime confirmed = new LastConfirmedTime();

	HeadTracker(Invariants invariants) {
		this.invariants = invariants;
	}

	/**
	 * Takes a head that the platform or a neighbour named; returns whether its bundle is
	 * now wanted.
	 * @param fromPlatform whether the platform itself said so
	 * @param asOfNanos when it was so
	 */
	boolean learn(long generation, String digest, boolean fromPlatform, long asOfNanos) {
		if (generation == this.current.generation && generation > 0) {
			boolean same = this.invariants.holds(digest.equals(this.current.digest), "one-winner",
					"generation " + generation + " is " + this.current.digest + ", heard " + digest);
			if (same && fromPlatform) {
				confirmed(asOfNanos);
			}
			return false;
		}
		if (generation <= this.wanted.map(Known::generation).orElse(this.current.generation)) {
			return false;
		}
		this.wanted = Optional.of(new Known(generation, digest, fromPlatform, asOfNanos));
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
		this.settled.removeIf((service) -> !weights(this.bundle, service).equals(weights(Optional.of(now), service)));
		this.previous = predecessors(now);
		this.takenNanos = nowNanos;
		this.current = next;
		this.wanted = Optional.empty();
		this.bundle = Optional.of(now);
		this.content = Optional.of(read);
		this.confirmed.clear();
		if (next.fromPlatform) {
			// The bundle may have been long under way, and a newer one been rolled since.
			confirmed(next.namedNanos);
		}
		return true;
	}

	private void confirmed(long asOfNanos) {
		this.confirmed.confirmed(asOfNanos);
		this.guard.confirmed(asOfNanos);
	}

	/**
	 * Hears that this VM was suspended: what is known is older than it seems.
	 */
	void suspended(long nowNanos) {
		this.confirmed.discardBefore(nowNanos);
		this.guard.discardBefore(nowNanos);
	}

	/**
	 * Stops accepting older weights of a service that nobody serves any more.
	 */
	void switched(String service, String digest) {
		Set<String> digests = this.previous.getOrDefault(service, new HashSet<>());
		digests.remove(digest);
		if (digests.isEmpty()) {
			this.previous.remove(service);
			this.settled.add(service);
		}
	}

	/**
	 * Notes that all runners of a service that are known here serve the head's weights.
	 * An entry that has just heard of its first bundle waits until every runner has had
	 * time to report.
	 */
	void allSwitched(String service, long nowNanos) {
		if (nowNanos - this.takenNanos > FIRST_REPORTS_NANOS) {
			this.settled.add(service);
		}
	}

	/**
	 * Accepts weights that a runner serves while it is behind the head, or ahead of it;
	 * returns whether that is new.
	 *
	 * An entry that starts in the middle of a roll, or hears of two rolls before the
	 * first is done, would else refuse every call until some runner has switched. The
	 * runner's agent has checked the approvals of every bundle it serves. Once all
	 * runners have switched, one that comes back with older weights is not accepted.
	 */
	boolean alsoServed(String service, String digest) {
		boolean known = digests().getOrDefault(service, Set.of()).contains(digest);
		boolean model = this.bundle.flatMap((now) -> now.service(service))
			.filter((spec) -> spec.kind() == ServiceSpec.Kind.MODEL)
			.isPresent();
		if (known || !model || digest.isEmpty() || this.settled.contains(service)) {
			return false;
		}
		return this.previous.computeIfAbsent(service, (name) -> new HashSet<>()).add(digest);
	}

	/**
	 * Returns the services of which runners may still answer with other weights than the
	 * head's, with these.
	 */
	Map<String, Set<String>> previous() {
		return Map.copyOf(this.previous);
	}

	/**
	 * Returns whether the bundle in force is known to be the newest, recently enough to
	 * call a request wrong by it. One whose head is known and that is not here yet may
	 * hold what the request asks for.
	 */
	RejectionPermit rejections(long nowNanos, long nowDayMillis) {
		return this.wanted.isEmpty() ? this.guard.permit(nowNanos, nowDayMillis) : RejectionPermit.NONE;
	}

	/**
	 * Returns for each service the digests an answer may come from.
	 */
	Map<String, Set<String>> digests() {
		Map<String, Set<String>> digests = new HashMap<>();
		this.bundle.ifPresent((now) -> now.services()
			.forEach((spec) -> digests.computeIfAbsent(spec.name(), (name) -> new HashSet<>())
				.add(now.weightsDigest(spec))));
		this.previous.forEach((service, older) -> digests.get(service).addAll(older));
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
		OptionalLong age = this.confirmed.stalenessNanos(nowNanos);
		return org.wisteriapost.protocol.wire.Head.newBuilder()
			.setGeneration(this.current.generation)
			.setDigest(this.current.digest)
			.setConfirmed(age.isPresent())
			.setConfirmedAgeMillis(TimeUnit.NANOSECONDS.toMillis(Math.max(0, age.orElse(0))))
			.build();
	}

	// Not only the last one: runners may still serve what was in force several rolls ago
	// when these follow each other faster than weights move.
	private Map<String, Set<String>> predecessors(Bundle next) {
		Map<String, Set<String>> digests = new HashMap<>();
		this.bundle.ifPresent((old) -> old.services()
			.stream()
			.filter((spec) -> spec.kind() == ServiceSpec.Kind.MODEL)
			.forEach((spec) -> next.service(spec.name())
				.filter((now) -> now.kind() == ServiceSpec.Kind.MODEL)
				.ifPresent((now) -> {
					Set<String> older = new HashSet<>(this.previous.getOrDefault(spec.name(), Set.of()));
					older.add(old.weightsDigest(spec));
					older.remove(next.weightsDigest(now));
					if (!older.isEmpty()) {
						digests.put(spec.name(), older);
					}
				})));
		return digests;
	}

	private static Optional<String> weights(Optional<Bundle> bundle, String service) {
		return bundle.flatMap((known) -> known.service(service).map(known::weightsDigest));
	}

	/**
	 * A head.
	 *
	 * @param fromPlatform whether the platform itself named it
	 * @param namedNanos as of when it was named first
	 */
	private record Known(long generation, String digest, boolean fromPlatform, long namedNanos) {

		private static final Known NONE = new Known(0, "", false, 0);

	}

}
