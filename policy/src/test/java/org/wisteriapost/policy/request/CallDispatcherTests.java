package org.wisteriapost.policy.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.kernel.Invariants;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Checks immediately before an effect is emitted, which guard against faults in earlier
 * decisions.
 */
class CallDispatcherTests {

	private final Invariants invariants = Invariants.create();

	private final List<RequestEffect> effects = new ArrayList<>();

	@ParameterizedTest
	@CsvSource({ "true, 1, true", "false, 0, true", "false, 1, false" })
	void nonIdempotentRequestThatMayHaveRunIsNotSent(boolean idempotent, int possibleRuns, boolean sent) {
		PendingRequest pending = pending(idempotent);
		pending.claimed = true;
		pending.possibleRuns = possibleRuns;
		pending.runner = new RunnerState(RequestStateMachineFixture.status("runner-0", 1));
		assertThat(new CallDispatcher(this.invariants).send(pending, 0, this.effects), is(sent));
		assertThat(this.effects, hasSize(sent ? 1 : 0));
		assertThat(this.invariants.violations(), is(sent ? Map.of() : Map.of("at-most-once", 1L)));
	}

	@Test
	void slotReleasedTwiceIsCountedOnce() {
		CallDispatcher dispatch = new CallDispatcher(this.invariants);
		ServiceState service = new ServiceState(RequestPolicySettings.defaults());
		RunnerState runner = new RunnerState(RequestStateMachineFixture.status("runner-0", 1));
		PendingRequest pending = pending(true);
		dispatch.reserve(pending, runner, service);
		dispatch.release(pending, service);
		pending.runner = runner;
		dispatch.release(pending, service);
		assertThat(runner.inFlight, is(0));
		assertThat(this.invariants.violations(), is(Map.of("in-flight-not-negative", 1L)));
	}

	@Test
	void secondFinalAnswerIsSuppressed() {
		PendingRequests requests = new PendingRequests(this.invariants);
		PendingRequest pending = requests.add(pending(true).request).orElseThrow();
		requests.answerFailed(pending, "shed", 100, this.effects);
		this.effects.clear();
		requests.answerFailed(pending, "shed", 100, this.effects);
		assertThat(this.effects, is(empty()));
		assertThat(this.invariants.violations(), is(Map.of("one-final-answer", 1L)));
	}

	@Test
	void startedAnswerIsNeverReportedAsNotRun() {
		RequestStateMachineFixture fixture = RequestStateMachineFixture.of("runner-0", "runner-1");
		RequestEffect.Dispatch sent = (RequestEffect.Dispatch) fixture.arrive(1).getFirst();
		fixture.apply(new RequestEvent.AnswerStarted(1));
		assertThat(fixture.fail(1, sent.runner(), true), is(List.of(new RequestEffect.AnswerUnknown(1, "answer-cut"))));
		assertThat(fixture.machine.violations(), is(Map.of("not-run-after-start", 1L)));
	}

	@ParameterizedTest
	@CsvSource({ "1, true, true", "2, true, false", "2, false, true" })
	void longRequestsLeaveSlotsWhileShortRequestsArrive(int longInFlight, boolean shortArrives, boolean allowed) {
		ServiceState service = new ServiceState(RequestPolicySettings.defaults());
		service.pool.setSlots(new RunnerState(RequestStateMachineFixture.status("runner-0", 4)), 4);
		service.pool.addInFlight(longInFlight, true);
		if (shortArrives) {
			service.recordAdmitted(pending(true).request, 0);
		}
		assertThat(service.longRequestAllowed(1), is(allowed));
	}

	private static PendingRequest pending(boolean idempotent) {
		return new PendingRequest(
				new Request(1, "org-0", RequestStateMachineFixture.SERVICE, Priority.NORMAL, 1, idempotent, 0, 1));
	}

}
