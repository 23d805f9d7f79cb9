package org.wisteriapost.policy.agent;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.request.Priority;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class AgentStateMachineTests {

	private final AgentSimulation simulation = AgentSimulation.of(1, 0);

	private final SimEngine engine = new SimEngine(true);

	@Test
	void rolledOutBundleTakesEffect() {
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		assertThat(serves(agent, 1), is(true));
		assertThat(this.engine.acceptedOrders(), hasSize(1));
	}

	@Test
	void bundleWithTheSameWeightsNeedsNoOrder() {
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		serves(agent, 1);
		agent.receive(AgentSimulation.confirmed(this.simulation.rollOut(2, "a")));
		assertThat(this.simulation.runUntil(() -> agent.status().bundleGeneration() == 2, 5 * AgentSimulation.SECOND),
				is(true));
		this.simulation.run(10 * AgentSimulation.SECOND);
		assertThat(agent.status().admitting(), is(true));
		assertThat(this.engine.acceptedOrders(), hasSize(1));
	}

	// A VM failed during its switch and was replaced in the VM list. Its slot must not
	// keep the failure domain's other runner on old weights forever.
	@Test
	void slotOfRemovedVmDoesNotBlockOthers() {
		AgentSimulation pair = AgentSimulation.of(3, 1);
		pair.rollOut(1, "a");
		SimAgent agent = pair.start("vm-1", this.engine);
		agent.receive(new AgentEvent.PeersRead(java.util.List.of("vm-1", "vm-3"), false));
		pair.runUntil(() -> agent.status().admitting(), 10 * AgentSimulation.SECOND);
		pair.platform()
			.set("switching/lm/" + AgentSimulation.FAILURE_DOMAIN,
					new SwitchSlots(java.util.List.of(new SwitchSlots.Holder("vm-2", "gone", 1))).encode());
		agent.receive(AgentSimulation.confirmed(pair.rollOut(2, "b")));
		assertThat(pair.runUntil(() -> this.engine.serving().equals(pair.weights(2)), 60 * AgentSimulation.SECOND),
				is(true));
	}

	@Test
	void oldWeightsAreDeletedOnlyAfterNewOnesServe() {
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		serves(agent, 1);
		agent.receive(call(1, this.simulation.weights(1)));
		agent.receive(AgentSimulation.confirmed(this.simulation.rollOut(2, "b")));
		this.simulation.run(20 * AgentSimulation.SECOND);
		assertThat(agent.deletedFiles(), is(empty()));
		agent.endCall(1);
		assertThat(serves(agent, 2), is(true));
		this.simulation.run(2 * AgentSimulation.SECOND);
		assertThat(agent.deletedFiles(), hasSize(1));
	}

	// A peer that was partitioned reports an older head as confirmed. The VM already
	// serves the newer one; callers must not get the older weights again.
	@Test
	void lowerHeadDoesNotRevertTheVm() {
		Head old = this.simulation.rollOut(1, "a");
		this.simulation.rollOut(2, "b");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		assertThat(serves(agent, 2), is(true));
		agent.receive(AgentSimulation.confirmed(old));
		this.simulation.run(10 * AgentSimulation.SECOND);
		assertThat(this.engine.serving(), equalTo(this.simulation.weights(2)));
		assertThat(agent.status().bundleGeneration(), is(2L));
		assertThat(this.engine.acceptedOrders(), hasSize(1));
	}

	// The head references a bundle that no operator approved. The old weights stay in
	// service, nothing of the new bundle is fetched, and the status reports the reason.
	@Test
	void unapprovedBundleChangesNothing() {
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		serves(agent, 1);
		agent.receive(AgentSimulation.confirmed(this.simulation.createBundle(2, "b", false)));
		this.simulation.run(10 * AgentSimulation.SECOND);
		assertThat(agent.status().failureCode(), equalTo("bundle-unapproved"));
		assertThat(agent.status().admitting(), is(true));
		assertThat(this.engine.serving(), equalTo(this.simulation.weights(1)));
		assertThat(agent.fetchedWeights(), hasSize(1));
	}

	@Test
	void bundleWithWrongContentIsRejected() {
		Head head = this.simulation.rollOut(1, "a");
		this.simulation.replaceContent(head.digest(), "{}".getBytes());
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		this.simulation.run(5 * AgentSimulation.SECOND);
		assertThat(agent.status().failureCode(), equalTo("bundle-content-mismatch"));
		assertThat(agent.status().bundleGeneration(), is(0L));
	}

	// The write that acquires the epoch takes effect but its response is lost. If it
	// were written again, the VM would be at epoch 2 and the agent would consider
	// itself replaced.
	@Test
	void lostConfirmationOfTheEpochIsResolvedByReadingBack() {
		this.simulation.rollOut(1, "a");
		this.simulation.loseNextConfirmation("vms/vm-1");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		assertThat(serves(agent, 1), is(true));
		assertThat(agent.status().epoch(), is(1L));
		assertThat(this.simulation.platform().version("vms/vm-1"), is(1L));
	}

	// An agent is paused while it waits for a running call before its switch, and a
	// newer agent acquires the epoch and orders the engine. When the older one resumes
	// with an expired lease, it must send no order, whether or not the engine honours
	// fencing, and must stop.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void agentWhoseLeaseExpiredDuringPauseSendsNoOrder(boolean fencing) {
		SimEngine shared = new SimEngine(fencing);
		this.simulation.rollOut(1, "a");
		SimAgent older = this.simulation.start("vm-1", shared);
		serves(older, 1);
		older.receive(call(7, this.simulation.weights(1)));
		older.receive(AgentSimulation.confirmed(this.simulation.rollOut(2, "b")));
		this.simulation.runUntil(() -> !older.status().admitting(), 10 * AgentSimulation.SECOND);
		older.pause();
		this.simulation.rollOut(3, "c");
		SimAgent newer = this.simulation.start("vm-1", shared);
		assertThat(serves(newer, 3), is(true));
		older.endCall(7);
		older.resume();
		this.simulation.run(20 * AgentSimulation.SECOND);
		assertThat(older.stopCode().orElse("not stopped"), equalTo("agent-replaced"));
		assertThat(shared.acceptedOrders().getLast().epoch(), is(2L));
		assertThat(shared.serving(), equalTo(this.simulation.weights(3)));
	}

	@Test
	void newerAgentWaitsForLeaseOfOlderAgent() {
		this.simulation.rollOut(1, "a");
		SimAgent older = this.simulation.start("vm-1", this.engine);
		serves(older, 1);
		older.kill();
		this.simulation.rollOut(2, "b");
		long started = this.simulation.now();
		SimAgent newer = this.simulation.start("vm-1", this.engine);
		assertThat(
				this.simulation.runUntil(() -> this.engine.acceptedOrders().size() == 2, 30 * AgentSimulation.SECOND),
				is(true));
		assertThat(this.simulation.now() - started > 5 * AgentSimulation.SECOND, is(true));
		assertThat(serves(newer, 2), is(true));
	}

	@Test
	void agentStopsWhenEngineReportsHigherEpoch() {
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		serves(agent, 1);
		this.engine.order(order("z", 9, 5));
		this.simulation.run(3 * AgentSimulation.SECOND);
		assertThat(agent.stopCode().orElse("not stopped"), equalTo("agent-replaced"));
	}

	// An engine that ignores fencing accepts an order that no agent sent. Calls for the
	// accepted weights are refused until the engine serves these weights again.
	@Test
	void foreignOrderIsDetectedAndOverridden() {
		SimEngine open = new SimEngine(false);
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", open);
		serves(agent, 1);
		AgentEffect.SendOrder foreign = order("z", 1, 0);
		open.order(foreign);
		open.loaded(foreign);
		agent.receive(new AgentEvent.WrongWeightsDetected());
		agent.receive(call(1, this.simulation.weights(1)));
		assertThat(this.simulation.refusals(), hasSize(1));
		assertThat(serves(agent, 1), is(true));
		assertThat(open.serving(), equalTo(this.simulation.weights(1)));
	}

	// The platform returns an older head, for example from a stale replica. The order
	// for it must not be sent, since an engine that ignores fencing would accept it.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void engineAheadOfHeadIsNotReverted(boolean fencing) {
		SimEngine ahead = new SimEngine(fencing);
		AgentEffect.SendOrder order = order("z", 9, 1);
		ahead.order(order);
		ahead.loaded(order);
		this.simulation.platform().set("vms/vm-1", "{\"epoch\":1,\"nonce\":\"gone\"}".getBytes());
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", ahead);
		this.simulation.run(20 * AgentSimulation.SECOND);
		assertThat(agent.status().failureCode(), equalTo("head-behind-engine"));
		assertThat(ahead.acceptedOrders(), hasSize(1));
	}

	// A running call must complete on the old weights before the switch, and a new call
	// must be refused meanwhile.
	@Test
	void switchWaitsForRunningCallsAndRefusesNewOnes() {
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		serves(agent, 1);
		agent.receive(call(1, this.simulation.weights(1)));
		agent.receive(AgentSimulation.confirmed(this.simulation.rollOut(2, "b")));
		this.simulation.run(20 * AgentSimulation.SECOND);
		assertThat(this.engine.acceptedOrders(), hasSize(1));
		agent.receive(call(2, this.simulation.weights(1)));
		assertThat(this.simulation.refusals(), hasSize(1));
		agent.endCall(1);
		assertThat(serves(agent, 2), is(true));
		assertThat(this.simulation.invariants().violations(), is(anEmptyMap()));
	}

	@Test
	void leavingAgentCompletesRunningCallsBeforeStopping() {
		this.simulation.rollOut(1, "a");
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		serves(agent, 1);
		agent.receive(call(1, this.simulation.weights(1)));
		agent.receive(new AgentEvent.LeaveRequested());
		this.simulation.run(10 * AgentSimulation.SECOND);
		assertThat(agent.stopCode().isPresent(), is(false));
		agent.endCall(1);
		this.simulation.run(3 * AgentSimulation.SECOND);
		assertThat(agent.stopCode().orElse("not stopped"), equalTo(""));
		assertThat(this.simulation.refusals(), is(empty()));
	}

	private boolean serves(SimAgent agent, long generation) {
		return this.simulation.runUntil(
				() -> agent.status().admitting() && agent.status().bundleGeneration() == generation
						&& agent.status().weightsDigest().equals(this.simulation.weights(generation)),
				30 * AgentSimulation.SECOND);
	}

	private AgentEvent call(long id, String weights) {
		return new AgentEvent.CallArrived(id, Priority.NORMAL, weights, this.simulation.now(),
				this.simulation.now() + 600 * AgentSimulation.SECOND);
	}

	private static AgentEffect.SendOrder order(String weights, long generation, long epoch) {
		return new AgentEffect.SendOrder(weights, java.util.List.of(), generation, epoch, Long.MAX_VALUE);
	}

}
