package org.wisteriapost.entry.process;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import org.wisteriapost.entry.caller.Outcome;
import org.wisteriapost.policy.request.Request;

/**
 * The metrics of an entry, as listed in docs/operations/metrics.md. Times are in seconds,
 * sizes in bytes.
 */
public final class EntryMetrics {

	// A latency objective can be evaluated only if its bound is one of these buckets.
	private static final Duration[] LATENCY_BUCKETS = { Duration.ofMillis(5), Duration.ofMillis(25),
			Duration.ofMillis(100), Duration.ofMillis(250), Duration.ofMillis(500), Duration.ofMillis(740),
			Duration.ofSeconds(1), Duration.ofMillis(2500), Duration.ofSeconds(5), Duration.ofSeconds(10),
			Duration.ofSeconds(30) };

	private final MeterRegistry registry;

	private final Map<String, Counter> dropped = new ConcurrentHashMap<>();

	private final BurnRecorder burn;

	private EntryMetrics(MeterRegistry registry, BurnRecorder burn) {
		this.registry = registry;
		this.burn = burn;
	}

	/**
	 * Returns the metrics of an entry without service-level objectives.
	 */
	public static EntryMetrics of(MeterRegistry registry) {
		return of(registry, BurnRecorder.of(List.of()));
	}

	static EntryMetrics of(MeterRegistry registry, BurnRecorder burn) {
		return new EntryMetrics(registry, burn);
	}

	/**
	 * Counts a change of what is believed of calls that crash runners.
	 */
	void quarantineChanged() {
		this.registry.counter("wisteriapost.entry.quarantine.changes").increment();
	}

	/**
	 * Counts a final answer.
	 * @param code empty for a complete answer
	 */
	void answered(Request request, Outcome outcome, String code, long tookNanos) {
		this.burn.answered(request, outcome, code, System.currentTimeMillis());
		Tags tags = Tags.of("organisation", request.organisation(), "service", request.service(), "priority",
				request.priority().name().toLowerCase(Locale.ROOT), "outcome", outcome.text(), "code", code);
		Timer.builder("wisteriapost.entry.request.duration")
			.description("Time from a request's arrival to the end of its answer.")
			.serviceLevelObjectives(LATENCY_BUCKETS)
			.tags(tags)
			.register(this.registry)
			.record(Duration.ofNanos(tookNanos));
	}

	/**
	 * Records the time to an answer's first byte.
	 */
	void started(Request request, long tookNanos) {
		this.burn.started(request, tookNanos);
		Timer.builder("wisteriapost.entry.first.byte.duration")
			.description("Time from a request's arrival to its answer's first byte.")
			.serviceLevelObjectives(LATENCY_BUCKETS)
			.tags("organisation", request.organisation(), "service", request.service())
			.register(this.registry)
			.record(Duration.ofNanos(tookNanos));
	}

	/**
	 * Counts a frame that belongs to no call in progress.
	 * @param reason {@code late} or {@code crossed}
	 */
	void dropped(String reason) {
		this.dropped
			.computeIfAbsent(reason,
					(key) -> Counter.builder("wisteriapost.entry.frames.dropped")
						.description("Frames of agents that belong to no call in progress.")
						.tag("reason", key)
						.register(this.registry))
			.increment();
	}

	/**
	 * Counts a request that was answered before it reached the event loop. May be called
	 * from any thread.
	 */
	void rejected(String code) {
		Counter.builder("wisteriapost.entry.turned.away")
			.description("Requests answered before they reached the event loop.")
			.tag("code", code)
			.register(this.registry)
			.increment();
	}

	/**
	 * Counts a call sent to a runner.
	 */
	void dispatched(String service) {
		Counter.builder("wisteriapost.entry.dispatches")
			.description("Calls sent to runners, retries included.")
			.tag("service", service)
			.register(this.registry)
			.increment();
	}

	/**
	 * Registers a gauge.
	 */
	public <T> void gauge(String name, String description, T state, ToDoubleFunction<T> value) {
		Gauge.builder(name, state, value).description(description).strongReference(true).register(this.registry);
	}

}
