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

class AgentMachineTests {

	private final AgentWorld world = AgentWorld.of(1, 0);

	private final SimEngine engine = new SimEngine(true);

	@Test
	void rolledBundleComesIntoForce() {
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", this.engine);
		assertThat(serves(agent, 1), is(true));
		assertThat(this.engine.taken(), hasSize(1));
	}

	@Test
	void bundleWithTheSameWeightsNeedsNoOrder() {
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", this.engine);
		serves(agent, 1);
		agent.hear(AgentWorld.fresh(this.world.roll(2, "a")));
		assertThat(this.world.runUntil(() -> agent.view().generation() == 2, 5 * AgentWorld.SECOND), is(true));
		this.world.run(10 * AgentWorld.SECOND);
		assertThat(agent.view().admitting(), is(true));
		assertThat(this.engine.taken(), hasSize(1));
	}

	// A VM died while it switched; the VM list has dropped it and named another. Its slot
	// must not keep the place's other runner on old weights for good.
	@Test
	void slotOfAVmThatDiedHoldsUpNobody() {
		AgentWorld pair = AgentWorld.of(3, 1);
		pair.roll(1, "a");
		SimAgent agent = pair.start("vm-1", this.engine);
		agent.hear(new AgentEvent.PeersRead(java.util.List.of("vm-1", "vm-3"), false));
		pair.runUntil(() -> agent.view().admitting(), 10 * AgentWorld.SECOND);
		pair.platform()
			.set("switching/lm/" + AgentWorld.PLACE,
					new SwitchSlots(java.util.List.of(new SwitchSlots.Holder("vm-2", "gone", 1))).encode());
		agent.hear(AgentWorld.fresh(pair.roll(2, "b")));
		assertThat(pair.runUntil(() -> this.engine.serving().equals(pair.weights(2)), 60 * AgentWorld.SECOND),
				is(true));
	}

	@Test
	void oldWeightsAreDroppedOnlyWhenTheNewOnesServe() {
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", this.engine);
		serves(agent, 1);
		agent.hear(call(1, this.world.weights(1)));
		agent.hear(AgentWorld.fresh(this.world.roll(2, "b")));
		this.world.run(20 * AgentWorld.SECOND);
		assertThat(agent.dropped(), is(empty()));
		agent.endCall(1);
		assertThat(serves(agent, 2), is(true));
		this.world.run(2 * AgentWorld.SECOND);
		assertThat(agent.dropped(), hasSize(1));
	}

	// A neighbour that was cut off comes back and tells an older head as fresh. The VM
	// has served the newer one; callers must not get the older weights again.
	@Test
	void lowerHeadNeverTurnsTheVmBack() {
		Head old = this.world.roll(1, "a");
		this.world.roll(2, "b");
		SimAgent agent = this.world.start("vm-1", this.engine);
		assertThat(serves(agent, 2), is(true));
		agent.hear(AgentWorld.fresh(old));
		this.world.run(10 * AgentWorld.SECOND);
		assertThat(this.engine.serving(), equalTo(this.world.weights(2)));
		assertThat(agent.view().generation(), is(2L));
		assertThat(this.engine.taken(), hasSize(1));
	}

	// Somebody moved the head to a bundle that no operator approved. Callers go on being
	// answered from the old weights, nothing of the new is fetched, and status says why.
	@Test
	void unapprovedBundleChangesNothing() {
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", this.engine);
		serves(agent, 1);
		agent.hear(AgentWorld.fresh(this.world.propose(2, "b", false)));
		this.world.run(10 * AgentWorld.SECOND);
		assertThat(agent.view().failing(), equalTo("bundle-unapproved"));
		assertThat(agent.view().admitting(), is(true));
		assertThat(this.engine.serving(), equalTo(this.world.weights(1)));
		assertThat(agent.fetched(), hasSize(1));
	}

	@Test
	void bundleWhoseBytesAreOthersIsRefused() {
		Head head = this.world.roll(1, "a");
		this.world.giveInstead(head.digest(), "{}".getBytes());
		SimAgent agent = this.world.start("vm-1", this.engine);
		this.world.run(5 * AgentWorld.SECOND);
		assertThat(agent.view().failing(), equalTo("bundle-content-mismatch"));
		assertThat(agent.view().generation(), is(0L));
	}

	// The write that takes the epoch takes effect and its answer is lost. Written again
	// as
	// if it had not, the VM would be at epoch 2 and the agent would think itself
	// replaced.
	@Test
	void lostConfirmationOfTheEpochIsResolvedByReadingBack() {
		this.world.roll(1, "a");
		this.world.loseNextConfirmation("vms/vm-1");
		SimAgent agent = this.world.start("vm-1", this.engine);
		assertThat(serves(agent, 1), is(true));
		assertThat(agent.view().epoch(), is(1L));
		assertThat(this.world.platform().version("vms/vm-1"), is(1L));
	}

	// The holder of the lease is paused while a call still runs before its switch. A
	// newer
	// agent takes the VM, follows a newer bundle and orders the engine. The older one
	// wakes
	// with a lease that looks held. It must send no order, whether the engine would
	// refuse
	// it or not, and must end.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void leaseThatLapsedDuringAPauseSendsNoOrder(boolean fencing) {
		SimEngine shared = new SimEngine(fencing);
		this.world.roll(1, "a");
		SimAgent older = this.world.start("vm-1", shared);
		serves(older, 1);
		older.hear(call(7, this.world.weights(1)));
		older.hear(AgentWorld.fresh(this.world.roll(2, "b")));
		this.world.runUntil(() -> !older.view().admitting(), 10 * AgentWorld.SECOND);
		older.pause();
		this.world.roll(3, "c");
		SimAgent newer = this.world.start("vm-1", shared);
		assertThat(serves(newer, 3), is(true));
		older.endCall(7);
		older.resume();
		this.world.run(20 * AgentWorld.SECOND);
		assertThat(older.stopped().orElse("still there"), equalTo("agent-replaced"));
		assertThat(shared.taken().getLast().epoch(), is(2L));
		assertThat(shared.serving(), equalTo(this.world.weights(3)));
	}

	@Test
	void newerAgentWaitsForTheOlderOnesLease() {
		this.world.roll(1, "a");
		SimAgent older = this.world.start("vm-1", this.engine);
		serves(older, 1);
		older.kill();
		this.world.roll(2, "b");
		long started = this.world.now();
		SimAgent newer = this.world.start("vm-1", this.engine);
		assertThat(this.world.runUntil(() -> this.engine.taken().size() == 2, 30 * AgentWorld.SECOND), is(true));
		assertThat(this.world.now() - started > 5 * AgentWorld.SECOND, is(true));
		assertThat(serves(newer, 2), is(true));
	}

	@Test
	void orderThatANewerAgentFencedEndsTheOlder() {
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", this.engine);
		serves(agent, 1);
		this.engine.order(order("z", 9, 5));
		this.world.run(3 * AgentWorld.SECOND);
		assertThat(agent.stopped().orElse("still there"), equalTo("agent-replaced"));
	}

	// An engine that ignores fencing is ordered behind the agent's back, under an epoch
	// of
	// nobody. Calls for the accepted weights are refused until the engine is back on
	// them.
	@Test
	void foreignOrderIsSeenAndOrderedOver() {
		SimEngine open = new SimEngine(false);
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", open);
		serves(agent, 1);
		AgentEffect.SendOrder foreign = order("z", 1, 0);
		open.order(foreign);
		open.loaded(foreign);
		agent.hear(new AgentEvent.WrongWeightsAnswered());
		agent.hear(call(1, this.world.weights(1)));
		assertThat(this.world.refusals(), hasSize(1));
		assertThat(serves(agent, 1), is(true));
		assertThat(open.serving(), equalTo(this.world.weights(1)));
	}

	// The platform's head was put back, or a lagging copy of it answers. Callers of this
	// VM
	// have had the newer weights; the engine would take the older order if it ignores
	// fencing. It is not sent.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void engineThatIsAheadOfTheHeadIsNotOrderedBack(boolean fencing) {
		SimEngine ahead = new SimEngine(fencing);
		AgentEffect.SendOrder order = order("z", 9, 1);
		ahead.order(order);
		ahead.loaded(order);
		this.world.platform().set("vms/vm-1", "{\"epoch\":1,\"nonce\":\"gone\"}".getBytes());
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", ahead);
		this.world.run(20 * AgentWorld.SECOND);
		assertThat(agent.view().failing(), equalTo("head-behind-engine"));
		assertThat(ahead.taken(), hasSize(1));
	}

	// The call's weights change is on its way: the running call ends on the old weights,
	// and a new one is refused before a byte of it has gone on.
	@Test
	void switchWaitsForRunningCallsAndRefusesNewOnes() {
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", this.engine);
		serves(agent, 1);
		agent.hear(call(1, this.world.weights(1)));
		agent.hear(AgentWorld.fresh(this.world.roll(2, "b")));
		this.world.run(20 * AgentWorld.SECOND);
		assertThat(this.engine.taken(), hasSize(1));
		agent.hear(call(2, this.world.weights(1)));
		assertThat(this.world.refusals(), hasSize(1));
		agent.endCall(1);
		assertThat(serves(agent, 2), is(true));
		assertThat(this.world.invariants().violations(), is(anEmptyMap()));
	}

	@Test
	void leavingAgentEndsWhatRunsAndThenStops() {
		this.world.roll(1, "a");
		SimAgent agent = this.world.start("vm-1", this.engine);
		serves(agent, 1);
		agent.hear(call(1, this.world.weights(1)));
		agent.hear(new AgentEvent.LeaveAsked());
		this.world.run(10 * AgentWorld.SECOND);
		assertThat(agent.stopped().isPresent(), is(false));
		agent.endCall(1);
		this.world.run(3 * AgentWorld.SECOND);
		assertThat(agent.stopped().orElse("still there"), equalTo(""));
		assertThat(this.world.refusals(), is(empty()));
	}

	private boolean serves(SimAgent agent, long generation) {
		return this.world
			.runUntil(
					() -> agent.view().admitting() && agent.view().generation() == generation
							&& agent.view().weightsDigest().equals(this.world.weights(generation)),
					30 * AgentWorld.SECOND);
	}

	private AgentEvent call(long id, String weights) {
		return new AgentEvent.CallArrived(id, Priority.NORMAL, weights, this.world.now(),
				this.world.now() + 600 * AgentWorld.SECOND);
	}

	private static AgentEffect.SendOrder order(String weights, long generation, long epoch) {
		return new AgentEffect.SendOrder(weights, java.util.List.of(), generation, epoch, Long.MAX_VALUE);
	}

}
