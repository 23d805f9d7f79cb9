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

	private final List<String> outcomes = new ArrayList<>();

	private long now;

	@ParameterizedTest(name = "admitting {0}, leaving {1}, weights {2}, deadline in {3} ms: {4}")
	@CsvSource({ "true, false, w, 1000, start 1", "false, false, w, 1000, gate-not-admitting 1",
			"false, true, w, 1000, gate-leaving 1", "true, false, other, 1000, gate-other-weights 1",
			"true, false, w, 0, gate-deadline 1" })
	void callIsStartedOrRefusedByAdmissionRules(boolean admitting, boolean leaving, String weights, long millis,
			String expected) {
		setAdmission(new AdmissionRules(admitting, leaving, "w", 2));
		arrive(1, Priority.NORMAL, weights, millis);
		assertThat(this.outcomes, contains(expected));
	}

	@Test
	void burstOverCapacityIsQueuedAndRestIsRefused() {
		setAdmission(new AdmissionRules(true, false, "w", 2));
		for (int id = 1; id <= 5; id++) {
			arrive(id, Priority.NORMAL, "w", 10_000);
		}
		assertThat(this.outcomes, contains("start 1", "start 2", "gate-full 5"));
		end(1);
		assertThat(this.outcomes.getLast(), is("start 3"));
	}

	@Test
	void urgentCallEvictsLowestPriorityAndStartsFirst() {
		setAdmission(new AdmissionRules(true, false, "w", 1));
		arrive(1, Priority.NORMAL, "w", 10_000);
		arrive(2, Priority.NORMAL, "w", 10_000);
		arrive(3, Priority.BULK, "w", 10_000);
		arrive(4, Priority.URGENT, "w", 10_000);
		end(1);
		assertThat(this.outcomes, contains("start 1", "gate-full 3", "start 4"));
	}

	@Test
	void bulkCallEvictsNoQueuedCall() {
		setAdmission(new AdmissionRules(true, false, "w", 1));
		arrive(1, Priority.NORMAL, "w", 10_000);
		arrive(2, Priority.BULK, "w", 10_000);
		arrive(3, Priority.BULK, "w", 10_000);
		arrive(4, Priority.BULK, "w", 10_000);
		assertThat(this.outcomes, contains("start 1", "gate-full 4"));
	}

	// Calls take a second each and the runner is at capacity. A call with a shorter
	// deadline would be answered only after its caller has timed out, so it is refused
	// immediately.
	@Test
	void callWhoseDeadlineWouldPassInQueueIsRefusedImmediately() {
		setAdmission(new AdmissionRules(true, false, "w", 1));
		for (int id = 1; id <= 40; id++) {
			arrive(id, Priority.NORMAL, "w", 60_000);
			this.now += 1000 * MILLI;
			end(id);
		}
		this.outcomes.clear();
		arrive(100, Priority.NORMAL, "w", 60_000);
		arrive(101, Priority.NORMAL, "w", 300);
		arrive(102, Priority.NORMAL, "w", 5000);
		assertThat(this.outcomes, contains("start 100", "gate-deadline 101"));
	}

	@Test
	void closingGateRefusesQueuedButNotRunningCalls() {
		setAdmission(new AdmissionRules(true, false, "w", 1));
		arrive(1, Priority.NORMAL, "w", 10_000);
		arrive(2, Priority.NORMAL, "w", 10_000);
		this.outcomes.clear();
		setAdmission(new AdmissionRules(false, false, "w", 1));
		assertThat(this.outcomes, contains("gate-not-admitting 2"));
		assertThat(this.gate.running(), is(1));
	}

	@Test
	void cancelledQueuedCallNeverStarts() {
		setAdmission(new AdmissionRules(true, false, "w", 1));
		arrive(1, Priority.NORMAL, "w", 10_000);
		arrive(2, Priority.NORMAL, "w", 10_000);
		EventContext context = new EventContext(this.now);
		this.gate.cancelled(2, context);
		this.outcomes.clear();
		end(1);
		assertThat(this.outcomes, is(empty()));
		assertThat(this.gate.queued(), is(0));
	}

	private void setAdmission(AdmissionRules admission) {
		EventContext context = new EventContext(this.now);
		this.gate.updateAdmission(admission, context);
		recordOutcomes(context);
	}

	private void arrive(long id, Priority priority, String weights, long millis) {
		EventContext context = new EventContext(this.now);
		this.gate.arrived(new AgentEvent.CallArrived(id, priority, weights, this.now, this.now + millis * MILLI),
				context);
		recordOutcomes(context);
	}

	private void end(long id) {
		EventContext context = new EventContext(this.now);
		this.gate.ended(id, context);
		recordOutcomes(context);
	}

	private void recordOutcomes(EventContext context) {
		for (AgentEffect effect : context.effects()) {
			switch (effect) {
				case AgentEffect.StartCall start -> this.outcomes.add("start " + start.call());
				case AgentEffect.RefuseCall refuse -> this.outcomes.add(refuse.code() + " " + refuse.call());
				default -> this.outcomes.add(effect.toString());
			}
		}
	}

}
