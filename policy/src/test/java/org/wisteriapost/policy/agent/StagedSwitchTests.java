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
 * Twelve machines of one place together, in seeded random runs.
 */
class StagedSwitchTests {

	private static final int VMS = 12;

	private static final int MIN_READY = 8;

	// A quarter of twelve.
	private static final int MOST_SWITCHING = 3;

	private static final int ROLLS = 4;

	private final List<String> names = IntStream.range(0, VMS).mapToObj((i) -> "vm-" + i).toList();

	private final Map<String, SimAgent> agents = new HashMap<>();

	private final List<String> lost = new ArrayList<>();

	private final Map<String, Long> highest = new HashMap<>();

	private AgentWorld world;

	private Head head;

	private int fewestReady;

	// Callers see a place with too few runners as refusals and late answers. Rolls come
	// one
	// after another while confirmations are lost, neighbours lag, agents are paused and
	// killed (one VM at a time) and engines differ in fencing. At no moment may switching
	// alone bring the place below minReady, and no engine may ever go back.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void placeKeepsMinReadyAndNothingReverts(long seed) {
		this.world = AgentWorld.of(seed, MIN_READY);
		this.head = this.world.roll(1, "model-1");
		this.names.forEach((vm) -> startOn(vm, new SimEngine(vm.hashCode() % 2 == 0)));
		assertThat("first bundle everywhere", everywhere(1), is(true));
		this.world.loseConfirmations(0.05);
		this.fewestReady = VMS;
		for (long generation = 2; generation <= ROLLS; generation++) {
			Head before = this.head;
			this.head = this.world.roll(generation, "model-" + generation);
			this.agents.values().forEach((agent) -> tellSometime(agent, before));
			fault();
			assertThat("generation " + generation, everywhere(generation), is(true));
		}
		assertThat(this.fewestReady, greaterThanOrEqualTo(Math.max(MIN_READY, VMS - MOST_SWITCHING)));
		assertThat(this.world.invariants().violations(), is(anEmptyMap()));
	}

	private void startOn(String vm, SimEngine engine) {
		SimAgent agent = this.world.start(vm, engine);
		agent.hear(new AgentEvent.PeersRead(this.names, false));
		agent.hear(new AgentEvent.EntriesConnected(1));
		agent.hear(AgentWorld.fresh(this.head));
		this.agents.put(vm, agent);
	}

	private void tellSometime(SimAgent agent, Head before) {
		Head now = this.head;
		this.world.after(this.world.random().nextLong(AgentWorld.SECOND), () -> agent.hear(AgentWorld.fresh(now)));
		this.world.after(this.world.random().nextLong(5 * AgentWorld.SECOND),
				() -> agent.hear(AgentWorld.unconfirmed(before)));
	}

	/**
	 * Pauses or kills one agent in the middle of the roll; it comes back later.
	 */
	private void fault() {
		String vm = this.names.get(this.world.random().nextInt(VMS));
		boolean kill = this.world.random().nextBoolean();
		this.world.after(this.world.random().nextLong(4 * AgentWorld.SECOND), () -> {
			this.lost.add(vm);
			SimAgent agent = this.agents.get(vm);
			if (kill) {
				agent.kill();
			}
			else {
				agent.pause();
			}
			this.world.after(AgentWorld.SECOND + this.world.random().nextLong(12 * AgentWorld.SECOND), () -> {
				if (kill) {
					startOn(vm, agent.engine());
				}
				else {
					agent.resume();
				}
				this.world.after(8 * AgentWorld.SECOND, () -> this.lost.remove(vm));
			});
		});
	}

	private boolean everywhere(long generation) {
		return this.world.runUntil(() -> {
			look();
			return this.lost.isEmpty() && this.agents.values()
				.stream()
				.allMatch((agent) -> agent.running() && agent.view().admitting()
						&& agent.engine().serving().equals(this.world.weights(generation)));
		}, 300 * AgentWorld.SECOND);
	}

	private void look() {
		int ready = 0;
		for (String vm : this.names) {
			SimAgent agent = this.agents.get(vm);
			boolean admits = agent.running() && agent.view().admitting();
			ready += (admits || this.lost.contains(vm)) ? 1 : 0;
			long generation = agent.engine().view().generation();
			long before = this.highest.getOrDefault(vm, 0L);
			this.world.invariants().holds(generation >= before, "no-revert", vm + ": " + generation);
			this.highest.put(vm, Math.max(before, generation));
		}
		this.fewestReady = Math.min(this.fewestReady, ready);
	}

}
