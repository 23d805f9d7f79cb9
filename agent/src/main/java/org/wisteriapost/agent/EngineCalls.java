package org.wisteriapost.agent;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;

import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.LocalEngineStatus;
import org.wisteriapost.protocol.outside.Engine;

/**
 * Orders the engine and reads its state for the agent's decisions.
 */
final class EngineCalls {

	private static final Logger LOG = System.getLogger(EngineCalls.class.getName());

	// A hint that is late and has gaps anyhow: bounded, so that the reports of a second
	// stay well under six kilobytes to all entries together.
	private static final int MAX_PREFIXES = 64;

	private final Engine engine;

	private final AgentLoop loop;

	private volatile List<Long> prefixes = List.of();

	EngineCalls(Engine engine, AgentLoop loop) {
		this.engine = engine;
		this.loop = loop;
	}

	List<Long> prefixes() {
		return this.prefixes;
	}

	void read() {
		this.engine.state().whenComplete((state, failure) -> {
			if (failure != null) {
				this.loop.post(new AgentEvent.EngineStatusReadFailed());
				return;
			}
			this.prefixes = state.prefixes().stream().limit(MAX_PREFIXES).toList();
			this.loop.post(new AgentEvent.EngineStatusRead(new LocalEngineStatus(state.weightsDigest(), state.loading(),
					state.running(), state.queued(), state.capacity(), state.generation(), state.epoch())));
		});
	}

	void order(AgentEffect.SendOrder order) {
		// Between the decision and this line the process may have been paused. The clock
		// is
		// read last, so that a lapsed lease sends nothing.
		if (this.loop.now() > order.notAfterNanos()) {
			this.loop.post(new AgentEvent.OrderLeaseExpired());
			return;
		}
		this.engine.load(new Engine.Order(order.weightsDigest(), order.files(), order.generation(), order.epoch()))
			.whenComplete((none, failure) -> {
				if (failure == null) {
					this.loop.post(new AgentEvent.OrderAccepted());
					return;
				}
				LOG.log(Level.WARNING, "order-failed: generation " + order.generation() + ": " + failure.getMessage());
				this.loop.post(PlatformCalls.has(failure, Engine.FENCED) ? new AgentEvent.OrderFenced()
						: new AgentEvent.OrderUnconfirmed());
			});
		LOG.log(Level.INFO, "engine-ordered: generation " + order.generation() + " weights " + order.weightsDigest());
	}

}
