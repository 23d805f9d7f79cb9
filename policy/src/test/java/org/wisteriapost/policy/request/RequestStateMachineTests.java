package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class RequestStateMachineTests {

	private RequestStateMachineFixture fixture = RequestStateMachineFixture.of("runner-0");

	@AfterEach
	void noInvariantIsViolated() {
		assertThat(this.fixture.machine.violations(), is(Map.of()));
	}

	@Test
	void requestGoesToARunnerWithTheAcceptedWeights() {
		assertThat(this.fixture.arrive(1), contains(new RequestEffect.Dispatch(1, "runner-0", "d1")));
	}

	@Test
	void withoutRunnerRequestIsRefusedAtOnce() {
		this.fixture = RequestStateMachineFixture.of();
		assertThat(code(this.fixture.arrive(1)), is("no-runner"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "switching", "other-weights", "leaving", "lost", "new-head" })
	void ineligibleRunnerGetsNoRequests(String reason) {
		this.fixture.apply(switch (reason) {
			case "switching" ->
				new RequestEvent.RunnerReported(RequestStateMachineFixture.status("runner-0", false, "d1", 0, 1));
			case "other-weights" ->
				new RequestEvent.RunnerReported(RequestStateMachineFixture.status("runner-0", true, "d2", 0, 1));
			case "leaving" -> new RequestEvent.LeavingVmsRead(Set.of("runner-0"));
			case "lost" -> new RequestEvent.RunnerDisconnected("runner-0");
			default -> new RequestEvent.HeadRead(2, Map.of(RequestStateMachineFixture.SERVICE, Set.of("d2")));
		});
		assertThat(code(this.fixture.arrive(1)), is("no-runner"));
	}

	@Test
	void olderHeadDoesNotRevert() {
		this.fixture.apply(new RequestEvent.HeadRead(0, Map.of(RequestStateMachineFixture.SERVICE, Set.of("d0"))));
		assertThat(this.fixture.arrive(1), contains(instanceOf(RequestEffect.Dispatch.class)));
	}

	@Test
	void waitingRequestIsDispatchedWhenASlotIsFree() {
		this.fixture.arrive(1);
		assertThat(this.fixture.arrive(2), is(empty()));
		assertThat(this.fixture.end(1, 100), contains(new RequestEffect.Dispatch(2, "runner-0", "d1")));
	}

	@Test
	void waitingRequestsAreRefusedWhenTheLastRunnerDisconnects() {
		this.fixture.arrive(1);
		this.fixture.arrive(2);
		assertThat(code(this.fixture.apply(new RequestEvent.RunnerDisconnected("runner-0"))), is("no-runner"));
	}

	@Test
	void waitingRequestIsRefusedAsNotRunAtItsDeadline() {
		this.fixture.arrive(1);
		this.fixture.arrive(2);
		List<RequestEffect> effects = this.fixture.tickAfter(10_000);
		assertThat(effects, hasSize(3));
		assertThat(effects.subList(0, 2), contains(new RequestEffect.Cancel(1, "runner-0"),
				new RequestEffect.AnswerUnknown(1, "deadline-passed")));
		assertThat(code(effects.subList(2, 3)), is("deadline-unreachable"));
	}

	/**
	 * Guards against allocating a number twice: the disconnected runner may have
	 * allocated one, so that the request must neither run again nor be reported as
	 * <em>not run</em>, which would make the caller retry.
	 */
	@Test
	void nonIdempotentRequestIsNotRetriedAfterAnUnknownOutcome() {
		this.fixture = RequestStateMachineFixture.of("runner-0", "runner-1");
		String runner = claimAndSend(1);
		assertThat(this.fixture.fail(1, runner, false), contains(new RequestEffect.AnswerUnknown(1, "answer-cut")));
		assertThat(this.fixture.tickAfter(1000), is(empty()));
	}

	@Test
	void nonIdempotentRequestThatDidNotRunIsRetriedWithoutASecondClaim() {
		this.fixture = RequestStateMachineFixture.of("runner-0", "runner-1");
		String runner = claimAndSend(1);
		assertThat(this.fixture.fail(1, runner, true), is(empty()));
		List<RequestEffect> effects = this.fixture.tickAfter(100);
		assertThat(effects, contains(instanceOf(RequestEffect.Dispatch.class)));
		assertThat(((RequestEffect.Dispatch) effects.getFirst()).runner(), is(not(runner)));
	}

	@Test
	void claimIsMadeOnlyAfterARunnerIsReserved() {
		this.fixture.arrive(1);
		assertThat(this.fixture.arrive(this.fixture.nonIdempotentRequest(2)), is(empty()));
		assertThat(this.fixture.end(1, 100), contains(new RequestEffect.Claim(2)));
	}

	@Test
	void failedClaimFreesItsSlot() {
		this.fixture.arrive(this.fixture.nonIdempotentRequest(1));
		this.fixture.arrive(2);
		assertThat(this.fixture.apply(new RequestEvent.ClaimFailed(1)),
				contains(new RequestEffect.Dispatch(2, "runner-0", "d1")));
	}

	@Test
	void runnerThatLeavesDuringTheClaimIsReplaced() {
		this.fixture.arrive(this.fixture.nonIdempotentRequest(1));
		this.fixture.apply(new RequestEvent.RunnerReported(RequestStateMachineFixture.status("runner-1", 1)));
		this.fixture.apply(new RequestEvent.LeavingVmsRead(Set.of("runner-0")));
		assertThat(this.fixture.apply(new RequestEvent.Claimed(1)),
				contains(new RequestEffect.Dispatch(1, "runner-1", "d1")));
	}

	@Test
	void claimConfirmedAfterTheDeadlineIsIgnored() {
		this.fixture.arrive(this.fixture.nonIdempotentRequest(1));
		assertThat(code(this.fixture.tickAfter(10_000)), is("deadline-unreachable"));
		assertThat(this.fixture.apply(new RequestEvent.Claimed(1)), is(empty()));
	}

	@ParameterizedTest
	@CsvSource({ "false, true", "true, false" })
	void idempotentRequestIsRetriedUnlessItsAnswerHasStarted(boolean started, boolean repeated) {
		this.fixture = RequestStateMachineFixture.of("runner-0", "runner-1");
		String runner = runner(this.fixture.arrive(1));
		if (started) {
			this.fixture.apply(new RequestEvent.AnswerStarted(1));
		}
		List<RequestEffect> atOnce = this.fixture.fail(1, runner, false);
		assertThat(atOnce.contains(new RequestEffect.AnswerUnknown(1, "answer-cut")), is(!repeated));
		assertThat(this.fixture.tickAfter(100), hasSize(repeated ? 1 : 0));
	}

	@Test
	void requestThatMayHaveRunIsNeverRefusedAsNotRun() {
		this.fixture = RequestStateMachineFixture.of("runner-0", "runner-1");
		String runner = runner(this.fixture.arrive(1));
		this.fixture.fail(1, runner, false);
		String other = runner(this.fixture.tickAfter(100));
		this.fixture.fail(1, other, true);
		String third = runner(this.fixture.tickAfter(100));
		assertThat(this.fixture.fail(1, third, true), contains(instanceOf(RequestEffect.AnswerUnknown.class)));
	}

	@Test
	void requestIsAnsweredAtOnceWhenTheRetryBudgetIsSpent() {
		this.fixture = RequestStateMachineFixture.of(RequestPolicySettings.defaults(), 100, "runner-0", "runner-1",
				"runner-2");
		int retried = 0;
		int answered = 0;
		for (int id = 1; id <= 60; id++) {
			String runner = runner(this.fixture.arrive(id));
			boolean gaveUp = !this.fixture.fail(id, runner, true).isEmpty();
			answered += gaveUp ? 1 : 0;
			retried += gaveUp ? 0 : 1;
			this.fixture.tickAfter(1000);
			this.fixture.apply(new RequestEvent.AnswerCompleted(id));
		}
		assertThat(retried, is(25));
		assertThat(answered, is(35));
	}

	@Test
	void noRetryThatWouldEndAfterTheDeadline() {
		this.fixture = RequestStateMachineFixture.of("runner-0", "runner-1");
		this.fixture.arrive(1);
		this.fixture.end(1, 6000);
		String runner = runner(this.fixture.arrive(2));
		this.fixture.nowNanos += Duration.ofSeconds(5).toNanos();
		assertThat(code(this.fixture.fail(2, runner, true)), is("link-lost"));
	}

	@Test
	void callerDisconnectCancelsTheWorkAndFreesTheSlot() {
		this.fixture.arrive(1);
		this.fixture.arrive(2);
		assertThat(this.fixture.apply(new RequestEvent.CallerDisconnected(1)),
				contains(new RequestEffect.Cancel(1, "runner-0"), new RequestEffect.Dispatch(2, "runner-0", "d1")));
	}

	@Test
	void drainingEntryRefusesNewRequestsAndCompletesOthers() {
		this.fixture.arrive(1);
		this.fixture.arrive(2);
		this.fixture.apply(new RequestEvent.Drain());
		assertThat(code(this.fixture.arrive(3)), is("entry-draining"));
		assertThat(this.fixture.end(1, 100), contains(new RequestEffect.Dispatch(2, "runner-0", "d1")));
	}

	@Test
	void requestRefusedByFullGateWaitsAndIsRetried() {
		this.fixture.arrive(1);
		RequestEvent full = new RequestEvent.DispatchFailed(1, "runner-0", true, "gate-full", 20);
		for (int i = 0; i < 6; i++) {
			assertThat(this.fixture.apply(full), is(empty()));
			assertThat(this.fixture.tickAfter(40), contains(instanceOf(RequestEffect.Dispatch.class)));
		}
	}

	@ParameterizedTest
	@CsvSource({ "gate-deadline, true", "gate-not-admitting, true", "link-lost, false" })
	void routineGateRefusalDoesNotEjectTheRunner(String code, boolean stays) {
		this.fixture = RequestStateMachineFixture.of("runner-0", "runner-1", "runner-2", "runner-3");
		for (int i = 0; i < 12; i++) {
			String runner = runner(this.fixture.arrive(i));
			this.fixture.apply(new RequestEvent.DispatchFailed(i, runner, true, code, 0));
			this.fixture.apply(new RequestEvent.CallerDisconnected(i));
			this.fixture.tickAfter(100);
		}
		int sent = 0;
		for (int i = 20; i < 24; i++) {
			sent += this.fixture.arrive(i).size();
		}
		assertThat(sent, is(stays ? 4 : 3));
	}

	@Test
	void lateAndDuplicateEventsAreIgnored() {
		this.fixture = RequestStateMachineFixture.of("runner-0", "runner-1");
		this.fixture.arrive(1);
		this.fixture.end(1, 100);
		assertThat(this.fixture.end(1, 0), is(empty()));
		assertThat(this.fixture.fail(1, "runner-0", true), is(empty()));
		assertThat(this.fixture.apply(new RequestEvent.Claimed(1)), is(empty()));
		assertThat(this.fixture.machine.pendingCount(), is(0));
	}

	@Test
	void retryAfterHasALowerBound() {
		this.fixture = RequestStateMachineFixture.of();
		RequestEffect.Refuse refuse = (RequestEffect.Refuse) this.fixture.arrive(1).getFirst();
		assertThat(refuse.retryAfterMillis(), greaterThanOrEqualTo(100L));
	}

	private String claimAndSend(long id) {
		assertThat(this.fixture.arrive(this.fixture.nonIdempotentRequest(id)), contains(new RequestEffect.Claim(id)));
		return runner(this.fixture.apply(new RequestEvent.Claimed(id)));
	}

	private static String runner(List<RequestEffect> effects) {
		assertThat(effects, hasSize(1));
		return ((RequestEffect.Dispatch) effects.getFirst()).runner();
	}

	private static String code(List<RequestEffect> effects) {
		assertThat(effects, hasSize(1));
		return ((RequestEffect.Refuse) effects.getFirst()).code();
	}

}
