package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Rate of admitted work per organisation at one service, in units of cost per second, as
 * an exponentially decaying average.
 *
 * Queue lengths alone do not show who competes for slots: requests of an organisation
 * within its share hardly ever wait, yet they go before the backlog of one that exceeds
 * its share.
 */
final class ArrivalRates {

	/**
	 * Long enough to average over the gaps of a few requests per second, short enough
	 * that a burst is visible before its backlog reaches a typical deadline.
	 */
	private static final double DECAY_NANOS = Duration.ofSeconds(2).toNanos();

	/** Organisations below this rate are idle and evicted. */
	private static final double IDLE_RATE = 0.01;

	private final Map<String, PriorityRates> rates = new HashMap<>();

	private final PriorityRates total = new PriorityRates();

	private final RequestPolicySettings settings;

	private int activeWeight;

	ArrivalRates(RequestPolicySettings settings) {
		this.settings = settings;
	}

	void recordAdmitted(Request request, long nowNanos) {
		PriorityRates own = this.rates.get(request.organisation());
		if (own == null) {
			own = new PriorityRates();
			this.rates.put(request.organisation(), own);
			this.activeWeight += this.settings.weight(request.organisation());
		}
		own.add(request, nowNanos);
		this.total.add(request, nowNanos);
	}

	/**
	 * Returns the rate of all organisations except the given one.
	 */
	double otherOrganisationsRate(String organisation, long nowNanos) {
		PriorityRates own = this.rates.get(organisation);
		double ownRate = (own != null) ? own.rateUpTo(Priority.values().length, nowNanos) : 0;
		return Math.max(0, this.total.rateUpTo(Priority.values().length, nowNanos) - ownRate);
	}

	/**
	 * Returns the rate of the organisation's work that is more urgent than the request.
	 */
	double moreUrgentRate(Request request, long nowNanos) {
		PriorityRates own = this.rates.get(request.organisation());
		return (own != null) ? own.rateUpTo(request.priority().ordinal(), nowNanos) : 0;
	}

	/**
	 * Returns the sum of the weights of all active organisations and the given one.
	 */
	int activeWeightWith(String organisation) {
		return this.activeWeight + (this.rates.containsKey(organisation) ? 0 : this.settings.weight(organisation));
	}

	void evictIdle(long nowNanos) {
		this.rates.entrySet().removeIf((entry) -> {
			boolean idle = entry.getValue().rateUpTo(Priority.values().length, nowNanos) < IDLE_RATE;
			this.activeWeight -= idle ? this.settings.weight(entry.getKey()) : 0;
			return idle;
		});
	}

	/**
	 * Exponentially decaying sums of cost, one per priority.
	 */
	private static final class PriorityRates {

		private final double[] sums = new double[Priority.values().length];

		private long lastDecayNanos;

		private void add(Request request, long nowNanos) {
			decay(nowNanos);
			this.sums[request.priority().ordinal()] += request.cost();
		}

		private double rateUpTo(int rank, long nowNanos) {
			decay(nowNanos);
			double sum = 0;
			for (int i = 0; i < rank; i++) {
				sum += this.sums[i];
			}
			return sum * Duration.ofSeconds(1).toNanos() / DECAY_NANOS;
		}

		private void decay(long nowNanos) {
			double factor = Math.exp(-(nowNanos - this.lastDecayNanos) / DECAY_NANOS);
			for (int i = 0; i < this.sums.length; i++) {
				this.sums[i] *= factor;
			}
			this.lastDecayNanos = nowNanos;
		}

	}

}
