package org.wisteriapost.agent;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.agent.AgentView;
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
		gauge("agent.generation", "generation of the bundle in force", loop, AgentView::generation);
		gauge("agent.head.generation", "highest head heard of", loop, AgentView::headGeneration);
		gauge("agent.calls.running", "calls at the runner", loop, AgentView::running);
		gauge("agent.calls.queued", "calls waiting at the gate or runner", loop, AgentView::queued);
		gauge("agent.chunks.verified", "chunks fetched and verified", loop, AgentView::verified);
		gauge("agent.chunks.total", "chunks needed", loop, AgentView::total);
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
			java.util.function.ToDoubleFunction<AgentView> value) {
		Gauge.builder(name, loop, (source) -> value.applyAsDouble(source.status()))
			.description(description)
			.register(this.registry);
	}

}
