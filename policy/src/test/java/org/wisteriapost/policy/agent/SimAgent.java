package org.wisteriapost.policy.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A simulated agent process, which can be paused and killed.
 */
final class SimAgent {

	private final AgentSimulation simulation;

	private final AgentStateMachine machine;

	private final SimEngine engine;

	private final Deque<AgentEvent> pendingEvents = new ArrayDeque<>();

	private final Set<Long> calls = new LinkedHashSet<>();

	private final Set<String> fetchedWeights = new LinkedHashSet<>();

	private final Set<String> deletedFiles = new LinkedHashSet<>();

	private boolean paused;

	private boolean killed;

	private Optional<String> stopCode = Optional.empty();

	SimAgent(AgentSimulation simulation, AgentStateMachine machine, SimEngine engine) {
		this.simulation = simulation;
		this.machine = machine;
		this.engine = engine;
	}

	AgentStatus status() {
		return this.machine.status();
	}

	SimEngine engine() {
		return this.engine;
	}

	Set<Long> calls() {
		return this.calls;
	}

	Set<String> fetchedWeights() {
		return this.fetchedWeights;
	}

	Set<String> deletedFiles() {
		return this.deletedFiles;
	}

	Optional<String> stopCode() {
		return this.stopCode;
	}

	boolean running() {
		return !this.killed && !this.paused && this.stopCode.isEmpty();
	}

	void kill() {
		this.killed = true;
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		while (!this.pendingEvents.isEmpty()) {
			receive(this.pendingEvents.poll());
		}
	}

	void receive(AgentEvent event) {
		if (this.killed || this.stopCode.isPresent()) {
			return;
		}
		if (this.paused) {
			this.pendingEvents.add(event);
			return;
		}
		this.machine.apply(event, this.simulation.now()).forEach(this::carryOut);
	}

	private void carryOut(AgentEffect effect) {
		switch (effect) {
			case AgentEffect.ScheduleTick wake ->
				this.simulation.after(wake.delayNanos(), () -> receive(new AgentEvent.Tick()));
			case AgentEffect.ReadObject read -> read(read.key());
			case AgentEffect.WriteObject write -> write(write);
			case AgentEffect.FetchBundle bundle ->
				this.simulation.afterNetworkDelay(() -> receive(this.simulation.fetchBundle(bundle.digest())));
			case AgentEffect.FetchWeights weights -> {
				this.fetchedWeights.add(weights.weightsDigest());
				this.simulation.after(this.simulation.fetchNanos(),
						() -> receive(new AgentEvent.WeightsFetched(weights.weightsDigest())));
			}
			case AgentEffect.DeleteWeights drop -> this.deletedFiles.addAll(drop.files());
			case AgentEffect.ReadEngine read -> this.simulation.afterNetworkDelay(() -> {
				LocalEngineStatus status = this.engine.status();
				this.simulation.afterNetworkDelay(() -> receive(new AgentEvent.EngineStatusRead(status)));
			});
			case AgentEffect.SendOrder order -> order(order);
			case AgentEffect.StartCall call -> this.calls.add(call.call());
			case AgentEffect.Stop stop -> this.stopCode = Optional.of(stop.code());
			case AgentEffect.RefuseCall refuse -> this.simulation.recordRefusal(refuse);
			case AgentEffect.CancelCall cancel -> this.calls.remove(cancel.call());
			case AgentEffect.SendReport report -> {
			}
			case AgentEffect.AnnounceLeaving leaving -> {
			}
			case AgentEffect.ThrottleTransfer slow -> {
			}
		}
	}

	void endCall(long call) {
		if (this.calls.remove(call)) {
			receive(new AgentEvent.CallEnded(call));
		}
	}

	private void read(String key) {
		long sent = this.simulation.now();
		this.simulation.afterNetworkDelay(() -> {
			if (this.simulation.platform().unavailable(key)) {
				receive(new AgentEvent.ObjectReadFailed(key));
				return;
			}
			Optional<StoredObject> value = this.simulation.platform().get(key);
			this.simulation.afterNetworkDelay(() -> receive(new AgentEvent.ObjectRead(key, value, sent)));
		});
	}

	private void write(AgentEffect.WriteObject write) {
		this.simulation.afterNetworkDelay(() -> {
			if (this.simulation.platform().unavailable(write.key())) {
				receive(new AgentEvent.ObjectWriteUnconfirmed(write.key()));
				return;
			}
			boolean written = this.simulation.platform().write(write);
			boolean lost = this.simulation.losesConfirmation(write.key());
			long version = this.simulation.platform().version(write.key());
			this.simulation.afterNetworkDelay(() -> receive(lost ? new AgentEvent.ObjectWriteUnconfirmed(write.key())
					: written ? new AgentEvent.ObjectWritten(write.key(), version)
							: new AgentEvent.ObjectWriteConflict(write.key())));
		});
	}

	private void order(AgentEffect.SendOrder order) {
		if (this.simulation.now() > order.notAfterNanos()) {
			receive(new AgentEvent.OrderLeaseExpired());
			return;
		}
		this.simulation.afterNetworkDelay(() -> {
			if (!this.engine.order(order)) {
				receive(new AgentEvent.OrderFenced());
				return;
			}
			this.simulation.after(this.simulation.loadNanos(), () -> this.engine.loaded(order));
			receive(new AgentEvent.OrderAccepted());
		});
	}

}
