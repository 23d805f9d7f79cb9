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
 * An agent starts while the platform is down and hears only neighbours, which may lag.
 */
class StartWithoutPlatformTests {

	private final AgentWorld world = AgentWorld.of(2, 0);

	private final SimEngine engine = new SimEngine(true);

	private Head first;

	private Head second;

	@BeforeEach
	void platformIsDown() {
		this.first = this.world.propose(1, "a", true);
		this.second = this.world.propose(2, "b", true);
		this.world.platform().down(true);
	}

	// A fresh VM hears of generation 1; it may be long gone. To serve it could answer
	// callers from weights that the fleet has left. It may get ready, no more.
	@Test
	void emptyEngineAndUnconfirmedHeadFetchesButServesNothing() {
		SimAgent agent = startHearing(AgentWorld.unconfirmed(this.first));
		assertThat(agent.view().admitting(), is(false));
		assertThat(agent.fetched(), contains(this.world.weights(1)));
		assertThat(this.engine.taken(), is(empty()));
	}

	@Test
	void staleConfirmationIsNotEnoughToOrder() {
		SimAgent agent = startHearing(new AgentEvent.HeadHeard(1, this.first.digest(), true, 60_000));
		assertThat(agent.view().admitting(), is(false));
		assertThat(this.engine.taken(), is(empty()));
	}

	// The platform takes the epoch and renews the lease, but the head cannot be read. The
	// agent has all authority and still no evidence: an order could turn the VM to
	// weights
	// that the fleet has left.
	@Test
	void authorityWithoutEvidenceOrdersNothing() {
		this.world.platform().down(false);
		this.world.platform().unreadable("head");
		SimAgent agent = startHearing(AgentWorld.unconfirmed(this.first));
		assertThat(agent.view().epoch(), is(1L));
		assertThat(agent.view().admitting(), is(false));
		assertThat(this.engine.taken(), is(empty()));
	}

	@Test
	void engineThatServesTheHeardHeadGoesOnServing() {
		served(1);
		SimAgent agent = startHearing(AgentWorld.unconfirmed(this.first));
		assertThat(agent.view().admitting(), is(true));
		assertThat(agent.view().weightsDigest(), equalTo(this.world.weights(1)));
		assertThat(this.engine.taken(), hasSize(1));
	}

	@Test
	void engineAheadOfALaggingNeighbourGoesOnServingAndIsNotTurnedBack() {
		served(2);
		SimAgent agent = startHearing(AgentWorld.unconfirmed(this.first));
		assertThat(agent.view().admitting(), is(true));
		assertThat(agent.view().weightsDigest(), equalTo(this.world.weights(2)));
		assertThat(this.engine.taken(), hasSize(1));
	}

	@Test
	void engineBehindTheHeardHeadServesNothing() {
		served(1);
		SimAgent agent = startHearing(AgentWorld.unconfirmed(this.second));
		assertThat(agent.view().admitting(), is(false));
		assertThat(this.engine.taken(), hasSize(1));
	}

	@Test
	void nothingHeardServesNothing() {
		served(1);
		SimAgent agent = this.world.start("vm-1", this.engine);
		this.world.run(10 * AgentWorld.SECOND);
		assertThat(agent.view().admitting(), is(false));
	}

	// The platform comes back with a newer head than the neighbour told: the agent goes
	// straight to it and never serves the older.
	@Test
	void platformThatComesBackDecides() {
		SimAgent agent = startHearing(AgentWorld.unconfirmed(this.first));
		this.world.platform().down(false);
		this.world.roll(2, "b");
		assertThat(this.world.runUntil(() -> agent.view().admitting(), 30 * AgentWorld.SECOND), is(true));
		assertThat(agent.view().weightsDigest(), equalTo(this.world.weights(2)));
		assertThat(this.engine.taken(), hasSize(1));
	}

	private SimAgent startHearing(AgentEvent head) {
		SimAgent agent = this.world.start("vm-1", this.engine);
		agent.hear(head);
		this.world.run(20 * AgentWorld.SECOND);
		return agent;
	}

	private void served(long generation) {
		AgentEffect.SendOrder order = new AgentEffect.SendOrder(this.world.weights(generation), java.util.List.of(),
				generation, 1, Long.MAX_VALUE);
		this.engine.order(order);
		this.engine.loaded(order);
	}

}
