package org.wisteriapost.policy.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * One agent's process in a world: it can be paused and killed.
 */
final class SimAgent {

	private final AgentWorld world;

	private final AgentMachine machine;

	private final SimEngine engine;

	private final Deque<AgentEvent> held = new ArrayDeque<>();

	private final Set<Long> calls = new LinkedHashSet<>();

	private final Set<String> fetched = new LinkedHashSet<>();

	private boolean paused;

	private boolean dead;

	private Optional<String> stopped = Optional.empty();

	SimAgent(AgentWorld world, AgentMachine machine, SimEngine engine) {
		this.world = world;
		this.machine = machine;
		this.engine = engine;
	}

	AgentView view() {
		return this.machine.view();
	}

	SimEngine engine() {
		return this.engine;
	}

	Set<Long> calls() {
		return this.calls;
	}

	Set<String> fetched() {
		return this.fetched;
	}

	Optional<String> stopped() {
		return this.stopped;
	}

	boolean running() {
		return !this.dead && !this.paused && this.stopped.isEmpty();
	}

	void kill() {
		this.dead = true;
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		while (!this.held.isEmpty()) {
			hear(this.held.poll());
		}
	}

	void hear(AgentEvent event) {
		if (this.dead || this.stopped.isPresent()) {
			return;
		}
		if (this.paused) {
			this.held.add(event);
			return;
		}
		this.machine.apply(event, this.world.now()).forEach(this::carryOut);
	}

	private void carryOut(AgentEffect effect) {
		switch (effect) {
			case AgentEffect.Wake wake -> this.world.after(wake.delayNanos(), () -> hear(new AgentEvent.Tick()));
			case AgentEffect.ReadObject read -> read(read.key());
			case AgentEffect.WriteObject write -> write(write);
			case AgentEffect.FetchBundle bundle -> this.world.soon(() -> hear(this.world.bundle(bundle.digest())));
			case AgentEffect.FetchWeights weights -> {
				this.fetched.add(weights.weightsDigest());
				this.world.after(this.world.fetchNanos(),
						() -> hear(new AgentEvent.WeightsFetched(weights.weightsDigest())));
			}
			case AgentEffect.ReadEngine read -> this.world.soon(() -> {
				EngineView view = this.engine.view();
				this.world.soon(() -> hear(new AgentEvent.EngineRead(view)));
			});
			case AgentEffect.SendOrder order -> order(order);
			case AgentEffect.StartCall call -> this.calls.add(call.call());
			case AgentEffect.Stop stop -> this.stopped = Optional.of(stop.code());
			case AgentEffect.RefuseCall refuse -> this.world.refused(refuse);
			case AgentEffect.CancelCall cancel -> this.calls.remove(cancel.call());
			case AgentEffect.ReportNow report -> {
			}
			case AgentEffect.SayLeaving leaving -> {
			}
			case AgentEffect.SlowTransfer slow -> {
			}
		}
	}

	void endCall(long call) {
		if (this.calls.remove(call)) {
			hear(new AgentEvent.CallEnded(call));
		}
	}

	private void read(String key) {
		long sent = this.world.now();
		this.world.soon(() -> {
			if (this.world.platform().down(key)) {
				hear(new AgentEvent.ObjectUnread(key));
				return;
			}
			Optional<StoredObject> value = this.world.platform().get(key);
			this.world.soon(() -> hear(new AgentEvent.ObjectRead(key, value, sent)));
		});
	}

	private void write(AgentEffect.WriteObject write) {
		this.world.soon(() -> {
			if (this.world.platform().down(write.key())) {
				hear(new AgentEvent.ObjectUnconfirmed(write.key()));
				return;
			}
			boolean written = this.world.platform().write(write);
			boolean lost = this.world.losesConfirmation(write.key());
			long version = this.world.platform().version(write.key());
			this.world.soon(() -> hear(lost ? new AgentEvent.ObjectUnconfirmed(write.key()) : written
					? new AgentEvent.ObjectWritten(write.key(), version) : new AgentEvent.ObjectConflict(write.key())));
		});
	}

	private void order(AgentEffect.SendOrder order) {
		if (this.world.now() > order.notAfterNanos()) {
			hear(new AgentEvent.OrderLapsed());
			return;
		}
		this.world.soon(() -> {
			if (!this.engine.order(order)) {
				hear(new AgentEvent.OrderFenced());
				return;
			}
			this.world.after(this.world.loadNanos(), () -> this.engine.loaded(order));
			hear(new AgentEvent.OrderTaken());
		});
	}

}
