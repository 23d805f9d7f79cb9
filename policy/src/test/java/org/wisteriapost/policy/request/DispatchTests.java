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
 * The last checks before an effect goes out, for the case that a decision before them is
 * wrong one day.
 */
class DispatchTests {

	private final Invariants invariants = Invariants.create();

	private final List<RequestEffect> effects = new ArrayList<>();

	@ParameterizedTest
	@CsvSource({ "true, 1, true", "false, 0, true", "false, 1, false" })
	void nonIdempotentRequestThatMayHaveRunIsNotSent(boolean idempotent, int uncertain, boolean sent) {
		Flight flight = flight(idempotent);
		flight.claimed = true;
		flight.uncertain = uncertain;
		flight.runner = new RunnerState(Fixture.view("runner-0", 1));
		assertThat(new Dispatch(this.invariants).send(flight, 0, this.effects), is(sent));
		assertThat(this.effects, hasSize(sent ? 1 : 0));
		assertThat(this.invariants.violations(), is(sent ? Map.of() : Map.of("at-most-once", 1L)));
	}

	@Test
	void slotGivenBackTwiceIsCountedOnce() {
		Dispatch dispatch = new Dispatch(this.invariants);
		ServiceState service = new ServiceState(RequestPolicySettings.defaults());
		RunnerState runner = new RunnerState(Fixture.view("runner-0", 1));
		Flight flight = flight(true);
		dispatch.reserve(flight, runner, service);
		dispatch.release(flight, service);
		flight.runner = runner;
		dispatch.release(flight, service);
		assertThat(runner.inFlight, is(0));
		assertThat(this.invariants.violations(), is(Map.of("in-flight-not-negative", 1L)));
	}

	@Test
	void secondFinalAnswerIsNotGiven() {
		Flights flights = new Flights(this.invariants);
		Flight flight = flights.add(flight(true).request).orElseThrow();
		flights.answer(flight, "shed", 100, this.effects);
		this.effects.clear();
		flights.answer(flight, "shed", 100, this.effects);
		assertThat(this.effects, is(empty()));
		assertThat(this.invariants.violations(), is(Map.of("one-final-answer", 1L)));
	}

	@Test
	void answerThatHasBegunIsNeverCalledNotRun() {
		Fixture fixture = Fixture.of("runner-0", "runner-1");
		RequestEffect.Dispatch sent = (RequestEffect.Dispatch) fixture.arrive(1).getFirst();
		fixture.apply(new RequestEvent.Started(1));
		assertThat(fixture.fail(1, sent.runner(), true), is(List.of(new RequestEffect.GiveUp(1, "answer-cut"))));
		assertThat(fixture.machine.violations(), is(Map.of("not-run-after-start", 1L)));
	}

	@ParameterizedTest
	@CsvSource({ "1, true, true", "2, true, false", "2, false, true" })
	void longWorkLeavesSlotsWhileShortWorkComes(int longInFlight, boolean shortComes, boolean allowed) {
		ServiceState service = new ServiceState(RequestPolicySettings.defaults());
		service.pool.countSlots(new RunnerState(Fixture.view("runner-0", 4)), 4);
		service.pool.countInFlight(longInFlight, true);
		if (shortComes) {
			service.admitted(flight(true).request, 0);
		}
		assertThat(service.longAllowed(1), is(allowed));
	}

	private static Flight flight(boolean idempotent) {
		return new Flight(new Request(1, "org-0", Fixture.SERVICE, Priority.NORMAL, 1, idempotent, 0, 1));
	}

}
