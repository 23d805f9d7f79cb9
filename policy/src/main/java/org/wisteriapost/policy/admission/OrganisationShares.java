package org.wisteriapost.policy.admission;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The recent requests of each organisation at this entry and those of them that were
 * admitted, by service and rank, and the max-min fair share of the admissions.
 */
final class OrganisationShares {

	// Some thirty requests of the most frequent rank at an entry with ten requests per
	// second.
	private static final Duration HALF_LIFE = Duration.ofSeconds(5);

	private static final Duration UPDATE_INTERVAL = Duration.ofMillis(100);

	// No organisation is served less than a quarter as often as all requests, with the
	// margin of RankShares.
	private static final double MIN_RELATIVE_SHARE = 0.25 * 1.4;

	// A share is a fraction of a request at many entries; one admission more is no
	// excess.
	private static final double TOLERANCE = 1;

	private static final double NEGLIGIBLE = 0.01;

	private final Map<String, Group[]> services = new HashMap<>();

	void arrived(String service, int rank, String organisation, long nowNanos) {
		group(service, rank).counts(organisation).arrived.increment(nowNanos);
	}

	void admitted(String service, int rank, String organisation, long nowNanos) {
		group(service, rank).counts(organisation).admitted.increment(nowNanos);
	}

	private Group group(String service, int rank) {
		Group[] groups = this.services.computeIfAbsent(service, (name) -> new Group[ContentionByRank.LAST_RANK + 1]);
		if (groups[rank] == null) {
			groups[rank] = new Group();
		}
		return groups[rank];
	}

	/**
	 * Returns the admitted share of the requests of an organisation.
	 */
	double admittedShare(String service, int rank, String organisation, long nowNanos) {
		Counts counts = group(service, rank).counts(organisation);
		return counts.admitted.value(nowNanos) / Math.max(1, counts.arrived.value(nowNanos));
	}

	/**
	 * Returns whether an organisation has more than its max-min fair share of the
	 * admissions of a rank and has to yield to the others.
	 */
	boolean aboveFairShare(String service, int rank, String organisation, long nowNanos) {
		Group group = group(service, rank);
		group.update(nowNanos);
		if (group.organisations.size() < 2) {
			return false;
		}
		Counts counts = group.counts(organisation);
		double admitted = counts.admitted.value(nowNanos);
		return admitted > group.fairShare + TOLERANCE
				&& admitted / Math.max(1, counts.arrived.value(nowNanos)) > MIN_RELATIVE_SHARE * group.admittedShare;
	}

	/** The organisations with requests of one rank of a service. */
	private static final class Group {

		private final Map<String, Counts> organisations = new HashMap<>();

		private double fairShare = Double.MAX_VALUE;

		private double admittedShare = 1;

		private long updatedNanos = Long.MIN_VALUE / 2;

		private Counts counts(String organisation) {
			return this.organisations.computeIfAbsent(organisation, (name) -> new Counts());
		}

		private void update(long nowNanos) {
			if (nowNanos - this.updatedNanos < UPDATE_INTERVAL.toNanos()) {
				return;
			}
			this.updatedNanos = nowNanos;
			this.organisations.values().removeIf((counts) -> counts.arrived.value(nowNanos) < NEGLIGIBLE);
			double[] demands = this.organisations.values()
				.stream()
				.mapToDouble((counts) -> counts.arrived.value(nowNanos))
				.sorted()
				.toArray();
			double admitted = this.organisations.values()
				.stream()
				.mapToDouble((counts) -> counts.admitted.value(nowNanos))
				.sum();
			this.fairShare = fairShare(demands, admitted);
			this.admittedShare = admitted / Math.max(1, Arrays.stream(demands).sum());
		}

		// The largest share such that all organisations together, none with more than it
		// demands, use the capacity.
		private static double fairShare(double[] sortedDemands, double capacity) {
			double left = capacity;
			for (int i = 0; i < sortedDemands.length; i++) {
				double equalShare = left / (sortedDemands.length - i);
				if (sortedDemands[i] > equalShare) {
					return equalShare;
				}
				left -= sortedDemands[i];
			}
			return Double.MAX_VALUE;
		}

	}

	/** Requests of one organisation. */
	private static final class Counts {

		private final DecayingCount arrived = new DecayingCount(HALF_LIFE);

		private final DecayingCount admitted = new DecayingCount(HALF_LIFE);

	}

}
