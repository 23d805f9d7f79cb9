package org.wisteriapost.agent;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;

import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.LocalEngineStatus;
import org.wisteriapost.protocol.outside.Engine;

/**
 * Sends orders to the engine and reads its state, posting the results as events.
 */
final class EngineClient {

	private static final Logger LOG = System.getLogger(EngineClient.class.getName());

	// Prefixes are only a routing hint. The limit keeps the reports that are sent each
	// second well below six kilobytes for all entries together.
	private static final int MAX_PREFIXES = 64;

	private final Engine engine;

	private final AgentLoop loop;

	private volatile List<Long> prefixes = List.of();

	EngineClient(Engine engine, AgentLoop loop) {
		this.engine = engine;
		this.loop = loop;
	}

	List<Long> prefixes() {
		return this.prefixes;
	}

	void readStatus() {
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

	void sendOrder(AgentEffect.SendOrder order) {
		// The process may have been paused since the order was decided. The clock is read
		// immediately before sending, so that no order is sent after the lease expired.
		if (this.loop.nowNanos() > order.notAfterNanos()) {
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
				this.loop.post(PlatformClient.hasCode(failure, Engine.FENCED) ? new AgentEvent.OrderFenced()
						: new AgentEvent.OrderUnconfirmed());
			});
		LOG.log(Level.INFO, "engine-ordered: generation " + order.generation() + " weights " + order.weightsDigest());
	}

}
