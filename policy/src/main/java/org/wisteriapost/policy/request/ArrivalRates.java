package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How much work each organisation has lately had admitted at a service, in units of cost
 * a second, by an average that fades over two seconds.
 *
 * Queues alone do not show who competes: the requests of an organisation within its share
 * hardly ever wait, and yet go before the backlog of one that is beyond it.
 */
final class ArrivalRates {

	/**
	 * Long enough to average over the gaps of a few requests a second, short enough that
	 * a burst is known before its backlog has reached a usual deadline.
	 */
	private static final double FADE_NANOS = Duration.ofSeconds(2).toNanos();

	/** Below this an organisation is idle and forgotten. */
	private static final double IDLE = 0.01;

	private final Map<String, Meter> meters = new HashMap<>();

	private final Meter all = new Meter();

	private final RequestPolicySettings settings;

	private int weight;

	ArrivalRates(RequestPolicySettings settings) {
		this.settings = settings;
	}

	void admitted(Request request, long nowNanos) {
		Meter meter = this.meters.get(request.organisation());
		if (meter == null) {
			meter = new Meter();
			this.meters.put(request.organisation(), meter);
			this.weight += this.settings.weight(request.organisation());
		}
		meter.add(request, nowNanos);
		this.all.add(request, nowNanos);
	}

	/**
	 * Returns the rate of all organisations but one.
	 */
	double others(String organisation, long nowNanos) {
		Meter own = this.meters.get(organisation);
		double mine = (own != null) ? own.upTo(Priority.values().length, nowNanos) : 0;
		return Math.max(0, this.all.upTo(Priority.values().length, nowNanos) - mine);
	}

	/**
	 * Returns the rate of an organisation's more urgent work.
	 */
	double ownMoreUrgent(Request request, long nowNanos) {
		Meter own = this.meters.get(request.organisation());
		return (own != null) ? own.upTo(request.priority().ordinal(), nowNanos) : 0;
	}

	/**
	 * Returns the sum of the weights of the organisations that send work, with the given
	 * one.
	 */
	int weightWith(String organisation) {
		return this.weight + (this.meters.containsKey(organisation) ? 0 : this.settings.weight(organisation));
	}

	void forgetIdle(long nowNanos) {
		this.meters.entrySet().removeIf((entry) -> {
			boolean idle = entry.getValue().upTo(Priority.values().length, nowNanos) < IDLE;
			this.weight -= idle ? this.settings.weight(entry.getKey()) : 0;
			return idle;
		});
	}

	/**
	 * One fading sum for each priority.
	 */
	private static final class Meter {

		private final double[] sums = new double[Priority.values().length];

		private long nanos;

		private void add(Request request, long nowNanos) {
			fade(nowNanos);
			this.sums[request.priority().ordinal()] += request.cost();
		}

		private double upTo(int rank, long nowNanos) {
			fade(nowNanos);
			double sum = 0;
			for (int each = 0; each < rank; each++) {
				sum += this.sums[each];
			}
			return sum * Duration.ofSeconds(1).toNanos() / FADE_NANOS;
		}

		private void fade(long nowNanos) {
			double factor = Math.exp(-(nowNanos - this.nanos) / FADE_NANOS);
			for (int each = 0; each < this.sums.length; each++) {
				this.sums[each] *= factor;
			}
			this.nanos = nowNanos;
		}

	}

}
