package org.wisteriapost.agent;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.agent.AgentStatus;
import org.wisteriapost.protocol.wire.CallEnd;

/**
 * Metrics of the agent.
 */
final class AgentMetrics {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	PrometheusMeterRegistry registry() {
		return this.registry;
	}

	void registerGauges(AgentLoop loop, Invariants invariants) {
		gauge("agent.admitting", "1 while calls are taken", loop, (status) -> status.admitting() ? 1 : 0);
		gauge("agent.generation", "generation of the bundle in force", loop, AgentStatus::bundleGeneration);
		gauge("agent.head.generation", "highest head heard of", loop, AgentStatus::headGeneration);
		gauge("agent.calls.running", "calls at the runner", loop, AgentStatus::runningCalls);
		gauge("agent.calls.queued", "calls waiting at the gate or runner", loop, AgentStatus::queuedCalls);
		gauge("agent.chunks.verified", "chunks fetched and verified", loop, AgentStatus::verifiedChunks);
		gauge("agent.chunks.total", "chunks needed", loop, AgentStatus::totalChunks);
		Gauge
			.builder("agent.invariants.violated", invariants,
					(source) -> source.violations().values().stream().mapToLong(Long::longValue).sum())
			.description("promises found broken inside this process")
			.register(this.registry);
	}

	void callEnded(CallEnd end) {
		this.registry
			.counter("agent.calls.ended", "outcome", end.getOutcome().name().toLowerCase(java.util.Locale.ROOT), "code",
					end.getCode())
			.increment();
	}

	private void gauge(String name, String description, AgentLoop loop,
			java.util.function.ToDoubleFunction<AgentStatus> value) {
		Gauge.builder(name, loop, (source) -> value.applyAsDouble(source.status()))
			.description(description)
			.register(this.registry);
	}

}
