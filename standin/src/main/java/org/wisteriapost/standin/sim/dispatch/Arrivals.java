package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.standin.sim.dispatch.DispatchProfile.Change;

/**
 * How many requests of which kind and organisation arrive at a time of a simulation.
 */
final class Arrivals {

	// The sizes of the organisations follow Zipf's law.
	private static final double ZIPF_EXPONENT = 1.2;

	private final DispatchProfile profile;

	private final UniformRandomProvider random;

	Arrivals(DispatchProfile profile, UniformRandomProvider random) {
		this.profile = profile;
		this.random = random;
	}

	/**
	 * Returns the time until the next request.
	 */
	long nextNanos(long nowNanos) {
		double factor = loadFactor(nowNanos) * kindFactor(nowNanos) * (1 + extraOfOrganisation(nowNanos));
		double seconds = -Math.log(1 - this.random.nextDouble()) / (this.profile.requestsPerSecond() * factor);
		return (long) (seconds * Duration.ofSeconds(1).toNanos());
	}

	private double loadFactor(long nowNanos) {
		return this.profile.changes()
			.stream()
			.filter((change) -> change instanceof Change.Burst burst && lasts(burst.at(), burst.length(), nowNanos))
			.mapToDouble((change) -> ((Change.Burst) change).factor())
			.findFirst()
			.orElse(1);
	}

	private double kindFactor(long nowNanos) {
		double shares = this.profile.kinds().stream().mapToDouble(RequestKind::share).sum();
		return this.profile.kinds().stream().mapToDouble((kind) -> weight(kind, nowNanos)).sum() / shares;
	}

	private double weight(RequestKind kind, long nowNanos) {
		return kind.share() * this.profile.changes()
			.stream()
			.filter((change) -> change instanceof Change.KindBurst burst && burst.kind().equals(kind.name())
					&& lasts(burst.at(), burst.length(), nowNanos))
			.mapToDouble((change) -> ((Change.KindBurst) change).factor())
			.findFirst()
			.orElse(1);
	}

	private Optional<Change.OrganisationBurst> organisationBurst(long nowNanos) {
		return this.profile.changes()
			.stream()
			.filter(Change.OrganisationBurst.class::isInstance)
			.map(Change.OrganisationBurst.class::cast)
			.filter((burst) -> lasts(burst.at(), burst.length(), nowNanos))
			.findFirst();
	}

	private double extraOfOrganisation(long nowNanos) {
		return organisationBurst(nowNanos)
			.map((burst) -> (burst.factor() - 1) * weight(burst.organisation()) / totalOrganisationWeight())
			.orElse(0.0);
	}

	/**
	 * Returns the kind of a request that arrives now.
	 */
	RequestKind kind(long nowNanos) {
		if (this.profile.kinds().size() == 1) {
			return this.profile.kinds().getFirst();
		}
		double total = this.profile.kinds().stream().mapToDouble((kind) -> weight(kind, nowNanos)).sum();
		double remaining = this.random.nextDouble() * total;
		for (RequestKind kind : this.profile.kinds()) {
			remaining -= weight(kind, nowNanos);
			if (remaining < 0) {
				return kind;
			}
		}
		return this.profile.kinds().getLast();
	}

	/**
	 * Returns the number of the organisation whose request arrives now.
	 */
	Optional<Integer> organisation(long nowNanos) {
		if (this.profile.organisations() == 0) {
			return Optional.empty();
		}
		double extra = extraOfOrganisation(nowNanos);
		double remaining = this.random.nextDouble() * (1 + extra) * totalOrganisationWeight();
		for (int number = 0; number < this.profile.organisations(); number++) {
			remaining -= weight(number);
			if (remaining < 0) {
				return Optional.of(number);
			}
		}
		return organisationBurst(nowNanos).map(Change.OrganisationBurst::organisation)
			.or(() -> Optional.of(this.profile.organisations() - 1));
	}

	private double totalOrganisationWeight() {
		return IntStream.range(0, this.profile.organisations()).mapToDouble(Arrivals::weight).sum();
	}

	private static double weight(int organisation) {
		return Math.pow(organisation + 1, -ZIPF_EXPONENT);
	}

	private static boolean lasts(Duration at, Duration length, long nowNanos) {
		return nowNanos >= at.toNanos() && nowNanos < at.plus(length).toNanos();
	}

}
