package org.wisteriapost.policy.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.bundle.Head;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Rolls bundles out to twelve VMs of a failure domain in seeded random simulations.
 */
class StagedSwitchTests {

	private static final int VMS = 12;

	private static final int MIN_READY = 8;

	// A quarter of the VMs.
	private static final int MAX_SWITCHING = 3;

	private static final int ROLLS = 4;

	private final List<String> vms = IntStream.range(0, VMS).mapToObj((i) -> "vm-" + i).toList();

	private final Map<String, SimAgent> agents = new HashMap<>();

	private final List<String> faultyVms = new ArrayList<>();

	private final Map<String, Long> highestGenerations = new HashMap<>();

	private AgentSimulation simulation;

	private Head head;

	private int minObservedReady;

	// Too few ready runners in a failure domain cause refusals and late responses.
	// Rollouts follow one another while write confirmations are lost, peers report
	// stale heads, agents are paused or killed (one VM at a time) and some engines
	// ignore fencing. Switching alone must never bring the failure domain below
	// minReady, and no engine may return to an older generation.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void failureDomainKeepsMinReadyAndNoEngineReverts(long seed) {
		this.simulation = AgentSimulation.of(seed, MIN_READY);
		this.head = this.simulation.rollOut(1, "model-1");
		this.vms.forEach((vm) -> startOn(vm, new SimEngine(vm.hashCode() % 2 == 0)));
		assertThat("first bundle everywhere", runUntilServedByAll(1), is(true));
		this.simulation.loseConfirmations(0.05);
		this.minObservedReady = VMS;
		for (long generation = 2; generation <= ROLLS; generation++) {
			Head before = this.head;
			this.head = this.simulation.rollOut(generation, "model-" + generation);
			this.agents.values().forEach((agent) -> scheduleHeads(agent, before));
			injectFault();
			assertThat("generation " + generation, runUntilServedByAll(generation), is(true));
		}
		assertThat(this.minObservedReady, greaterThanOrEqualTo(Math.max(MIN_READY, VMS - MAX_SWITCHING)));
		assertThat(this.simulation.invariants().violations(), is(anEmptyMap()));
	}

	private void startOn(String vm, SimEngine engine) {
		SimAgent agent = this.simulation.start(vm, engine);
		agent.receive(new AgentEvent.PeersRead(this.vms, false));
		agent.receive(new AgentEvent.EntriesConnected(1));
		agent.receive(AgentSimulation.confirmed(this.head));
		this.agents.put(vm, agent);
	}

	private void scheduleHeads(SimAgent agent, Head before) {
		Head now = this.head;
		this.simulation.after(this.simulation.random().nextLong(AgentSimulation.SECOND),
				() -> agent.receive(AgentSimulation.confirmed(now)));
		this.simulation.after(this.simulation.random().nextLong(5 * AgentSimulation.SECOND),
				() -> agent.receive(AgentSimulation.unconfirmed(before)));
	}

	/**
	 * Pauses or kills an agent during the rollout, and resumes or restarts it later.
	 */
	private void injectFault() {
		String vm = this.vms.get(this.simulation.random().nextInt(VMS));
		boolean kill = this.simulation.random().nextBoolean();
		this.simulation.after(this.simulation.random().nextLong(4 * AgentSimulation.SECOND), () -> {
			this.faultyVms.add(vm);
			SimAgent agent = this.agents.get(vm);
			if (kill) {
				agent.kill();
			}
			else {
				agent.pause();
			}
			this.simulation
				.after(AgentSimulation.SECOND + this.simulation.random().nextLong(12 * AgentSimulation.SECOND), () -> {
					if (kill) {
						startOn(vm, agent.engine());
					}
					else {
						agent.resume();
					}
					this.simulation.after(8 * AgentSimulation.SECOND, () -> this.faultyVms.remove(vm));
				});
		});
	}

	private boolean runUntilServedByAll(long generation) {
		return this.simulation.runUntil(() -> {
			observe();
			return this.faultyVms.isEmpty() && this.agents.values()
				.stream()
				.allMatch((agent) -> agent.running() && agent.status().admitting()
						&& agent.engine().serving().equals(this.simulation.weights(generation)));
		}, 300 * AgentSimulation.SECOND);
	}

	private void observe() {
		int ready = 0;
		for (String vm : this.vms) {
			SimAgent agent = this.agents.get(vm);
			boolean admits = agent.running() && agent.status().admitting();
			ready += (admits || this.faultyVms.contains(vm)) ? 1 : 0;
			long generation = agent.engine().status().generation();
			long before = this.highestGenerations.getOrDefault(vm, 0L);
			this.simulation.invariants().holds(generation >= before, "no-revert", vm + ": " + generation);
			this.highestGenerations.put(vm, Math.max(before, generation));
		}
		this.minObservedReady = Math.min(this.minObservedReady, ready);
	}

}
