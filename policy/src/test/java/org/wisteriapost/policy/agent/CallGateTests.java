package org.wisteriapost.policy.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.request.Priority;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class CallGateTests {

	private static final long MILLI = 1_000_000L;

	private final CallGate gate = new CallGate(new AgentLimits(2, 2, Duration.ofSeconds(5), Duration.ofSeconds(10),
			Duration.ofSeconds(30), 0.25, Duration.ofSeconds(60)));

	private final List<String> happened = new ArrayList<>();

	private long now;

	@ParameterizedTest(name = "admitting {0}, leaving {1}, weights {2}, deadline in {3} ms: {4}")
	@CsvSource({ "true, false, w, 1000, start 1", "false, false, w, 1000, gate-not-admitting 1",
			"false, true, w, 1000, gate-leaving 1", "true, false, other, 1000, gate-other-weights 1",
			"true, false, w, 0, gate-deadline 1" })
	void callIsStartedOrRefusedBeforeAByteOfIt(boolean admitting, boolean leaving, String weights, long millis,
			String expected) {
		admit(new Admission(admitting, leaving, "w", 2));
		arrive(1, Priority.NORMAL, weights, millis);
		assertThat(this.happened, contains(expected));
	}

	@Test
	void burstOverCapacityWaitsShortlyAndTheRestIsRefused() {
		admit(new Admission(true, false, "w", 2));
		for (int id = 1; id <= 5; id++) {
			arrive(id, Priority.NORMAL, "w", 10_000);
		}
		assertThat(this.happened, contains("start 1", "start 2", "gate-full 5"));
		end(1);
		assertThat(this.happened.getLast(), is("start 3"));
	}

	@Test
	void urgentCallPushesOutTheLeastUrgentAndGoesFirst() {
		admit(new Admission(true, false, "w", 1));
		arrive(1, Priority.NORMAL, "w", 10_000);
		arrive(2, Priority.NORMAL, "w", 10_000);
		arrive(3, Priority.BULK, "w", 10_000);
		arrive(4, Priority.URGENT, "w", 10_000);
		end(1);
		assertThat(this.happened, contains("start 1", "gate-full 3", "start 4"));
	}

	@Test
	void bulkCallPushesOutNobody() {
		admit(new Admission(true, false, "w", 1));
		arrive(1, Priority.NORMAL, "w", 10_000);
		arrive(2, Priority.BULK, "w", 10_000);
		arrive(3, Priority.BULK, "w", 10_000);
		arrive(4, Priority.BULK, "w", 10_000);
		assertThat(this.happened, contains("start 1", "gate-full 4"));
	}

	// The runner is full of calls that take a second each. A call that can wait for less
	// would be answered after its caller has gone; it is told at once.
	@Test
	void callThatTheQueueWouldMakeLateIsRefusedAtOnce() {
		admit(new Admission(true, false, "w", 1));
		for (int id = 1; id <= 40; id++) {
			arrive(id, Priority.NORMAL, "w", 60_000);
			this.now += 1000 * MILLI;
			end(id);
		}
		this.happened.clear();
		arrive(100, Priority.NORMAL, "w", 60_000);
		arrive(101, Priority.NORMAL, "w", 300);
		arrive(102, Priority.NORMAL, "w", 5000);
		assertThat(this.happened, contains("start 100", "gate-deadline 101"));
	}

	@Test
	void waitingCallsAreRefusedWhenTheGateClosesAndRunningOnesAreNot() {
		admit(new Admission(true, false, "w", 1));
		arrive(1, Priority.NORMAL, "w", 10_000);
		arrive(2, Priority.NORMAL, "w", 10_000);
		this.happened.clear();
		admit(new Admission(false, false, "w", 1));
		assertThat(this.happened, contains("gate-not-admitting 2"));
		assertThat(this.gate.running(), is(1));
	}

	@Test
	void cancelledWaitingCallNeverStarts() {
		admit(new Admission(true, false, "w", 1));
		arrive(1, Priority.NORMAL, "w", 10_000);
		arrive(2, Priority.NORMAL, "w", 10_000);
		Turn turn = new Turn(this.now);
		this.gate.cancelled(2, turn);
		this.happened.clear();
		end(1);
		assertThat(this.happened, is(empty()));
		assertThat(this.gate.queued(), is(0));
	}

	private void admit(Admission admission) {
		Turn turn = new Turn(this.now);
		this.gate.admission(admission, turn);
		note(turn);
	}

	private void arrive(long id, Priority priority, String weights, long millis) {
		Turn turn = new Turn(this.now);
		this.gate.arrive(new AgentEvent.CallArrived(id, priority, weights, this.now, this.now + millis * MILLI), turn);
		note(turn);
	}

	private void end(long id) {
		Turn turn = new Turn(this.now);
		this.gate.ended(id, turn);
		note(turn);
	}

	private void note(Turn turn) {
		for (AgentEffect effect : turn.effects()) {
			switch (effect) {
				case AgentEffect.StartCall start -> this.happened.add("start " + start.call());
				case AgentEffect.RefuseCall refuse -> this.happened.add(refuse.code() + " " + refuse.call());
				default -> this.happened.add(effect.toString());
			}
		}
	}

}
