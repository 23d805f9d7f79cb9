package org.wisteriapost.policy.agent;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.bundle.Head;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * An agent starts while the platform is down and receives heads only from peers, which
 * may be stale.
 */
class StartWithoutPlatformTests {

	private final AgentSimulation simulation = AgentSimulation.of(2, 0);

	private final SimEngine engine = new SimEngine(true);

	private Head first;

	private Head second;

	@BeforeEach
	void makePlatformUnavailable() {
		this.first = this.simulation.createBundle(1, "a", true);
		this.second = this.simulation.createBundle(2, "b", true);
		this.simulation.platform().unavailable(true);
	}

	// A new VM receives generation 1, which may have been superseded long ago. It may
	// fetch the weights but must not serve them.
	@Test
	void emptyEngineWithUnconfirmedHeadFetchesButServesNothing() {
		SimAgent agent = startWithHead(AgentSimulation.unconfirmed(this.first));
		assertThat(agent.status().admitting(), is(false));
		assertThat(agent.fetchedWeights(), contains(this.simulation.weights(1)));
		assertThat(this.engine.acceptedOrders(), is(empty()));
	}

	@Test
	void staleConfirmationIsNotEnoughToOrder() {
		SimAgent agent = startWithHead(new AgentEvent.HeadReceived(1, this.first.digest(), true, 60_000));
		assertThat(agent.status().admitting(), is(false));
		assertThat(this.engine.acceptedOrders(), is(empty()));
	}

	// The agent holds the epoch and the lease, but the head cannot be read. An order
	// could switch the VM to superseded weights.
	@Test
	void leaseWithoutConfirmedHeadSendsNoOrder() {
		this.simulation.platform().unavailable(false);
		this.simulation.platform().failRequestsFor("head");
		SimAgent agent = startWithHead(AgentSimulation.unconfirmed(this.first));
		assertThat(agent.status().epoch(), is(1L));
		assertThat(agent.status().admitting(), is(false));
		assertThat(this.engine.acceptedOrders(), is(empty()));
	}

	@Test
	void engineServingReceivedHeadContinuesServing() {
		orderGeneration(1);
		SimAgent agent = startWithHead(AgentSimulation.unconfirmed(this.first));
		assertThat(agent.status().admitting(), is(true));
		assertThat(agent.status().weightsDigest(), equalTo(this.simulation.weights(1)));
		assertThat(this.engine.acceptedOrders(), hasSize(1));
	}

	@Test
	void engineAheadOfStalePeerContinuesServingAndIsNotReverted() {
		orderGeneration(2);
		SimAgent agent = startWithHead(AgentSimulation.unconfirmed(this.first));
		assertThat(agent.status().admitting(), is(true));
		assertThat(agent.status().weightsDigest(), equalTo(this.simulation.weights(2)));
		assertThat(this.engine.acceptedOrders(), hasSize(1));
	}

	@Test
	void engineBehindReceivedHeadServesNothing() {
		orderGeneration(1);
		SimAgent agent = startWithHead(AgentSimulation.unconfirmed(this.second));
		assertThat(agent.status().admitting(), is(false));
		assertThat(this.engine.acceptedOrders(), hasSize(1));
	}

	@Test
	void agentWithoutAnyHeadServesNothing() {
		orderGeneration(1);
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		this.simulation.run(10 * AgentSimulation.SECOND);
		assertThat(agent.status().admitting(), is(false));
	}

	// The platform recovers with a newer head than the peer reported. The agent must
	// switch to it directly and never serve the older one.
	@Test
	void recoveredPlatformDeterminesHead() {
		SimAgent agent = startWithHead(AgentSimulation.unconfirmed(this.first));
		this.simulation.platform().unavailable(false);
		this.simulation.rollOut(2, "b");
		assertThat(this.simulation.runUntil(() -> agent.status().admitting(), 30 * AgentSimulation.SECOND), is(true));
		assertThat(agent.status().weightsDigest(), equalTo(this.simulation.weights(2)));
		assertThat(this.engine.acceptedOrders(), hasSize(1));
	}

	private SimAgent startWithHead(AgentEvent head) {
		SimAgent agent = this.simulation.start("vm-1", this.engine);
		agent.receive(head);
		this.simulation.run(20 * AgentSimulation.SECOND);
		return agent;
	}

	private void orderGeneration(long generation) {
		AgentEffect.SendOrder order = new AgentEffect.SendOrder(this.simulation.weights(generation),
				java.util.List.of(), generation, 1, Long.MAX_VALUE);
		this.engine.order(order);
		this.engine.loaded(order);
	}

}
