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
 * The head and the active bundle as known to this entry. The generation never decreases,
 * whether a peer lags or the platform was restored from a backup.
 */
final class HeadTracker {

	// Agents report every second, so each has reported by then.
	private static final long FIRST_REPORTS_WAIT_NANOS = TimeUnit.SECONDS.toNanos(3);

	// The time within which a bundle that operators roll must be active at every entry.
	private static final Duration ACTIVATION_DELAY = Duration.ofSeconds(8);

	private final Invariants invariants;

	private final RejectionGuard guard = RejectionGuard.of(ACTIVATION_DELAY);

	private KnownHead current = KnownHead.NONE;

	private Optional<KnownHead> pending = Optional.empty();

	private Optional<Bundle> bundle = Optional.empty();

	private Optional<BundleContent> content = Optional.empty();

	// For each service the digests other than the head's that are accepted until all
	// runners have switched.
	private Map<String, Set<String>> previousDigests = new HashMap<>();

	private final Set<String> switchedServices = new HashSet<>();

	private long activatedNanos;

	// The time at which the platform last confirmed the current head.
	private final LastConfirmedTime confirmed = new LastConfirmedTime();

	HeadTracker(Invariants invariants) {
		this.invariants = invariants;
	}

	/**
	 * Applies a head that was read from the platform or received from a peer; returns
	 * whether its bundle has to be fetched.
	 * @param fromPlatform whether it was read from the platform
	 * @param asOfNanos the time at which it was the head
	 */
	boolean headReceived(long generation, String digest, boolean fromPlatform, long asOfNanos) {
		if (generation == this.current.generation && generation > 0) {
			boolean same = this.invariants.holds(digest.equals(this.current.digest), "one-winner",
					"generation " + generation + " is " + this.current.digest + ", received " + digest);
			if (same && fromPlatform) {
				confirmed(asOfNanos);
			}
			return false;
		}
		if (generation <= this.pending.map(KnownHead::generation).orElse(this.current.generation)) {
			return false;
		}
		this.pending = Optional.of(new KnownHead(generation, digest, fromPlatform, asOfNanos));
		return true;
	}

	/**
	 * Activates a bundle if it is the one of the pending head; returns whether it did.
	 */
	boolean activate(BundleContent received, long nowNanos) {
		if (this.pending.isEmpty() || !this.pending.get().digest.equals(received.digest())
				|| !Digests.sha256(received.bytes()).equals(received.digest())) {
			return false;
		}
		KnownHead next = this.pending.get();
		if (!this.invariants.holds(next.generation > this.current.generation, "no-revert",
				"generation " + this.current.generation + " to " + next.generation)) {
			return false;
		}
		Bundle now = BundleCodec.bundle(received.bytes());
		this.switchedServices.removeIf(
				(service) -> !weightsDigest(this.bundle, service).equals(weightsDigest(Optional.of(now), service)));
		this.previousDigests = previousDigestsAfter(now);
		this.activatedNanos = nowNanos;
		this.current = next;
		this.pending = Optional.empty();
		this.bundle = Optional.of(now);
		this.content = Optional.of(received);
		this.confirmed.clear();
		if (next.fromPlatform) {
			// Not the present time: fetching the bundle may have taken long, and a newer
			// one may have been rolled since.
			confirmed(next.announcedNanos);
		}
		return true;
	}

	private void confirmed(long asOfNanos) {
		this.confirmed.confirmed(asOfNanos);
		this.guard.confirmed(asOfNanos);
	}

	/**
	 * Discards earlier confirmations after this VM was suspended, since the monotonic
	 * clock did not count that time.
	 */
	void suspended(long nowNanos) {
		this.confirmed.discardBefore(nowNanos);
		this.guard.discardBefore(nowNanos);
	}

	/**
	 * Stops accepting previous weights of a service once no runner serves them any more.
	 */
	void stopAccepting(String service, String digest) {
		Set<String> digests = this.previousDigests.getOrDefault(service, new HashSet<>());
		digests.remove(digest);
		if (digests.isEmpty()) {
			this.previousDigests.remove(service);
			this.switchedServices.add(service);
		}
	}

	/**
	 * Marks a service as switched when all its known runners serve the head's weights.
	 * Has no effect right after a bundle became active, until every runner has had time
	 * to report.
	 */
	void allSwitched(String service, long nowNanos) {
		if (nowNanos - this.activatedNanos > FIRST_REPORTS_WAIT_NANOS) {
			this.switchedServices.add(service);
		}
	}

	/**
	 * Accepts weights that a runner serves while it is behind or ahead of the head;
	 * returns whether they were not accepted before.
	 *
	 * Otherwise an entry that starts during a roll, or that receives two heads before the
	 * first roll is complete, would refuse every call until some runner has switched. The
	 * runner's agent has verified the approvals of every bundle that it serves. Once all
	 * runners have switched, a runner that returns with older weights is not accepted.
	 */
	boolean acceptServed(String service, String digest) {
		boolean known = acceptedDigests().getOrDefault(service, Set.of()).contains(digest);
		boolean model = this.bundle.flatMap((now) -> now.service(service))
			.filter((spec) -> spec.kind() == ServiceSpec.Kind.MODEL)
			.isPresent();
		if (known || !model || digest.isEmpty() || this.switchedServices.contains(service)) {
			return false;
		}
		return this.previousDigests.computeIfAbsent(service, (name) -> new HashSet<>()).add(digest);
	}

	/**
	 * Returns for each service the digests other than the head's that runners may still
	 * answer with.
	 */
	Map<String, Set<String>> previousDigests() {
		return Map.copyOf(this.previousDigests);
	}

	/**
	 * Returns until when requests may be rejected by the active bundle. None are rejected
	 * while the bundle of a newer head is being fetched, which may contain what a request
	 * asks for.
	 */
	RejectionPermit rejectionPermit(long nowNanos, long nowWallMillis) {
		return this.pending.isEmpty() ? this.guard.permit(nowNanos, nowWallMillis) : RejectionPermit.NONE;
	}

	/**
	 * Returns for each service the digests of the weights that may answer its calls.
	 */
	Map<String, Set<String>> acceptedDigests() {
		Map<String, Set<String>> digests = new HashMap<>();
		this.bundle.ifPresent((now) -> now.services()
			.forEach((spec) -> digests.computeIfAbsent(spec.name(), (name) -> new HashSet<>())
				.add(now.weightsDigest(spec))));
		this.previousDigests.forEach((service, older) -> digests.get(service).addAll(older));
		return digests;
	}

	/**
	 * Returns the digest of the bundle that has to be fetched, if any.
	 */
	Optional<String> pending() {
		return this.pending.map(KnownHead::digest);
	}

	/**
	 * Returns the active bundle with its signatures if it has this digest.
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
	 * Returns the head as it is sent to peers.
	 */
	org.wisteriapost.protocol.wire.Head toWire(long nowNanos) {
		OptionalLong age = this.confirmed.stalenessNanos(nowNanos);
		return org.wisteriapost.protocol.wire.Head.newBuilder()
			.setGeneration(this.current.generation)
			.setDigest(this.current.digest)
			.setConfirmed(age.isPresent())
			.setConfirmedAgeMillis(TimeUnit.NANOSECONDS.toMillis(Math.max(0, age.orElse(0))))
			.build();
	}

	// Includes the digests of all previous bundles that are still accepted: when rolls
	// follow each other faster than weights are transferred, runners may be several
	// bundles behind.
	private Map<String, Set<String>> previousDigestsAfter(Bundle next) {
		Map<String, Set<String>> digests = new HashMap<>();
		this.bundle.ifPresent((old) -> old.services()
			.stream()
			.filter((spec) -> spec.kind() == ServiceSpec.Kind.MODEL)
			.forEach((spec) -> next.service(spec.name())
				.filter((now) -> now.kind() == ServiceSpec.Kind.MODEL)
				.ifPresent((now) -> {
					Set<String> older = new HashSet<>(this.previousDigests.getOrDefault(spec.name(), Set.of()));
					older.add(old.weightsDigest(spec));
					older.remove(next.weightsDigest(now));
					if (!older.isEmpty()) {
						digests.put(spec.name(), older);
					}
				})));
		return digests;
	}

	private static Optional<String> weightsDigest(Optional<Bundle> bundle, String service) {
		return bundle.flatMap((known) -> known.service(service).map(known::weightsDigest));
	}

	/**
	 * A head.
	 *
	 * @param fromPlatform whether it was first read from the platform, not from a peer
	 * @param announcedNanos the time as of which it was first known to be the head
	 */
	private record KnownHead(long generation, String digest, boolean fromPlatform, long announcedNanos) {

		private static final KnownHead NONE = new KnownHead(0, "", false, 0);

	}

}
