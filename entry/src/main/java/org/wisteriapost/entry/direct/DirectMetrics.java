package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import org.wisteriapost.policy.dispatch.CancelReason;
import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.quarantine.QuarantineChange;

/**
 * The entry's counters and latency histograms.
 */
final class DirectMetrics {

	private static final String PREFIX = "wisteriapost.entry.";

	private static final Duration[] LATENCY_BUCKETS = { Duration.ofMillis(50), Duration.ofMillis(100),
			Duration.ofMillis(200), Duration.ofMillis(400), Duration.ofMillis(800), Duration.ofMillis(1600),
			Duration.ofMillis(3200) };

	private final MeterRegistry registry;

	private final Timer firstEvent;

	private final Timer wholeAnswer;

	private final DistributionSummary predictionRatio;

	private final AtomicInteger quarantined;

	private final AtomicInteger limitedRunners;

	private final AtomicInteger evacuatedFailureDomains;

	private final AtomicInteger coldRunners;

	private final AtomicInteger coldPermitsUsed;

	private final MultiGauge reservedSlots;

	private final AtomicInteger slowEngines;

	private final AtomicLong storeEpoch;

	private DirectMetrics(MeterRegistry registry) {
		this.registry = registry;
		this.reservedSlots = MultiGauge.builder(PREFIX + "reserved.slots")
			.description("Slots of a runner that less urgent requests leave free.")
			.register(registry);
		this.limitedRunners = registry.gauge(PREFIX + "limited.runners", new AtomicInteger());
		this.evacuatedFailureDomains = registry.gauge(PREFIX + "evacuated.failure.domains", new AtomicInteger());
		this.coldRunners = registry.gauge(PREFIX + "cold.runners", new AtomicInteger());
		this.coldPermitsUsed = registry.gauge(PREFIX + "cold.permits.used", new AtomicInteger());
		this.slowEngines = registry.gauge(PREFIX + "slow.engines", new AtomicInteger());
		this.storeEpoch = registry.gauge(PREFIX + "store.epoch", new AtomicLong());
		this.quarantined = registry.gauge(PREFIX + "quarantined", new AtomicInteger());
		this.firstEvent = timer("first.event", "Time from a request's arrival to its first event.");
		this.wholeAnswer = timer("answer", "Time from a request's arrival to its whole answer.");
		this.predictionRatio = DistributionSummary.builder(PREFIX + "forecast.ratio")
			.description("Time to the first event, as a share of what was predicted.")
			.serviceLevelObjectives(0.5, 0.8, 1.25, 2, 4)
			.register(registry);
	}

	static DirectMetrics create(MeterRegistry registry) {
		return new DirectMetrics(registry);
	}

	private Timer timer(String name, String description) {
		return Timer.builder(PREFIX + name)
			.description(description)
			.serviceLevelObjectives(LATENCY_BUCKETS)
			.register(this.registry);
	}

	/**
	 * Counts a request that is restricted to regions.
	 * @param region this entry's region
	 */
	void requestArrived(Job job, String region) {
		if (job.allowedRegions().restricted()) {
			boolean inside = job.allowedRegions().allows(Optional.of(region));
			this.registry.counter(PREFIX + "regional.requests", "entry", inside ? "inside" : "outside").increment();
		}
	}

	void dispatched() {
		this.registry.counter(PREFIX + "dispatches").increment();
	}

	void dispatchEnded(Job job, DispatchOutcome outcome, long nowNanos) {
		this.registry.counter(PREFIX + "dispatches.ended", "outcome", outcome.name()).increment();
		if (outcome == DispatchOutcome.DONE) {
			this.wholeAnswer.record(nowNanos - job.arrivedNanos(), TimeUnit.NANOSECONDS);
		}
	}

	/**
	 * Counts a dispatch that the entry has given up.
	 */
	void dispatchGivenUp(CancelReason reason) {
		this.registry.counter(PREFIX + "dispatches.given.up", "reason", reason.name()).increment();
	}

	/**
	 * Counts a request that is sent to a second runner because the first one is silent.
	 */
	void hedged() {
		this.registry.counter(PREFIX + "hedges").increment();
	}

	/**
	 * Counts a request whose answer one of two open dispatches has continued.
	 * @param by the number of that dispatch
	 */
	void superseded(int dispatch, int by) {
		this.registry.counter(PREFIX + "hedges.ended", "winner", (by < dispatch) ? "first" : "second").increment();
	}

	/**
	 * Records the first event of a dispatch.
	 */
	void firstEvent(Job job, int dispatch, long nowNanos) {
		this.firstEvent.record(nowNanos - job.arrivedNanos(), TimeUnit.NANOSECONDS);
		double predicted = job.predictedMillis();
		if (predicted > 0 && dispatch == job.dispatchNumber()) {
			this.predictionRatio.record(TimeUnit.NANOSECONDS.toMillis(nowNanos - job.sentNanos()) / predicted);
		}
	}

	/**
	 * Counts a change of what is believed of a request.
	 * @param quarantined the number of requests in quarantine
	 */
	void quarantineChanged(QuarantineChange change, int quarantined) {
		String kind = switch (change) {
			case QuarantineChange.Suspected suspected -> "suspected";
			case QuarantineChange.Quarantined started -> "quarantined";
			case QuarantineChange.Cleared cleared -> "cleared";
			case QuarantineChange.Released released -> "released";
			case QuarantineChange.PartSuspected suspected -> "part-suspected";
			case QuarantineChange.PartsQuarantined started -> "parts-quarantined";
			case QuarantineChange.PartsReleased released -> "parts-released";
		};
		this.registry.counter(PREFIX + "quarantine.changes", "kind", kind).increment();
		this.quarantined.set(quarantined);
	}

	/**
	 * Counts a change of the limit that a runner names.
	 * @param limited the number of runners that name a limit
	 */
	void rateLimitChanged(int limited) {
		this.registry.counter(PREFIX + "limit.changes").increment();
		this.limitedRunners.set(limited);
	}

	/**
	 * Sets the number of failure domains that are evacuated.
	 */
	void evacuatedFailureDomains(int evacuated) {
		this.evacuatedFailureDomains.set(evacuated);
	}

	/**
	 * Sets how many runners count as cold, and the requests sent to them lately.
	 */
	void coldRunners(int runners, int permitsUsed) {
		this.coldRunners.set(runners);
		this.coldPermitsUsed.set(permitsUsed);
	}

	/**
	 * Updates the reserved slots.
	 * @param reserved the slots of a runner that stay free, by service and rank
	 */
	void slotsReserved(Map<String, Map<Integer, Double>> reserved) {
		this.reservedSlots.register(reserved.entrySet()
			.stream()
			.flatMap((service) -> service.getValue()
				.entrySet()
				.stream()
				.map((rank) -> MultiGauge.Row
					.of(Tags.of("service", service.getKey(), "rank", String.valueOf(rank.getKey())), rank.getValue())))
			.toList(), true);
	}

	/**
	 * Records the latest epoch of the site's store.
	 */
	void storeEpoch(long epoch) {
		this.storeEpoch.set(epoch);
	}

	/**
	 * Records how many engines state that they are slower than declared.
	 */
	void slowEngines(int count) {
		this.slowEngines.set(count);
	}

	/**
	 * Counts a final answer that the entry itself produced.
	 */
	void answered(String kind, String code) {
		this.registry.counter(PREFIX + "own.answers", "kind", kind, "code", code).increment();
	}

}
