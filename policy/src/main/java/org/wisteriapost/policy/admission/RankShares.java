package org.wisteriapost.policy.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The recent requests of this entry and those of them that were admitted, by service and
 * rank.
 */
final class RankShares {

	// Some ten requests at an entry with ten requests per second.
	private static final Duration HALF_LIFE = Duration.ofSeconds(2);

	// No rank is served less than a quarter as often as all requests. The margin covers
	// the random differences between entries.
	private static final double MIN_RELATIVE_SHARE = 0.25 * 1.4;

	// How long a rank counts as present after a request.
	private static final long PRESENCE_NANOS = Duration.ofSeconds(10).toNanos();

	// With fewer requests a share says nothing.
	private static final double MIN_REQUESTS = 2;

	private final Map<String, Counts[]> services = new HashMap<>();

	void arrived(String service, int rank, long nowNanos) {
		Counts counts = counts(service)[rank];
		counts.arrived.increment(nowNanos);
		counts.lastNanos = OptionalLong.of(nowNanos);
	}

	void admitted(String service, int rank, long nowNanos) {
		counts(service)[rank].admitted.increment(nowNanos);
	}

	private Counts[] counts(String service) {
		return this.services.computeIfAbsent(service, (name) -> {
			Counts[] counts = new Counts[ContentionByRank.LAST_RANK + 1];
			for (int i = 0; i < counts.length; i++) {
				counts[i] = new Counts();
			}
			return counts;
		});
	}

	/**
	 * Returns whether requests of different ranks have come for a service recently.
	 */
	boolean several(String service, long nowNanos) {
		int present = 0;
		for (Counts one : counts(service)) {
			boolean recent = one.lastNanos.isPresent() && nowNanos - one.lastNanos.getAsLong() < PRESENCE_NANOS;
			present += recent ? 1 : 0;
		}
		return present > 1;
	}

	/**
	 * Returns whether a rank is served so rarely that it must not yield to others.
	 */
	boolean belowMinimum(String service, int rank, long nowNanos) {
		Counts[] counts = counts(service);
		double own = counts[rank].arrived.value(nowNanos);
		if (own < MIN_REQUESTS) {
			return false;
		}
		double arrived = 0;
		double admitted = 0;
		for (Counts one : counts) {
			arrived += one.arrived.value(nowNanos);
			admitted += one.admitted.value(nowNanos);
		}
		return counts[rank].admitted.value(nowNanos) / own < MIN_RELATIVE_SHARE * admitted / arrived;
	}

	/**
	 * Returns the share of the admissions that is left after those of more urgent ranks.
	 */
	double leftByMoreUrgent(String service, int rank, long nowNanos) {
		Counts[] counts = counts(service);
		double urgent = 0;
		double all = 0;
		for (int i = 0; i < counts.length; i++) {
			double admitted = counts[i].admitted.value(nowNanos);
			all += admitted;
			urgent += (i < rank) ? admitted : 0;
		}
		return (all > 0) ? 1 - urgent / all : 1;
	}

	/** Requests of one rank. */
	private static final class Counts {

		private final DecayingCount arrived = new DecayingCount(HALF_LIFE);

		private final DecayingCount admitted = new DecayingCount(HALF_LIFE);

		private OptionalLong lastNanos = OptionalLong.empty();

	}

}
