package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.Route;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * What runners state of themselves in their answers.
 */
class RunnerStatementTests {

	private static final RunnerIncarnation FIRST = RunnerIncarnation.startedAt(1000);

	private static final RunnerIncarnation SECOND = RunnerIncarnation.startedAt(2000);

	private final DispatcherHarness harness = new DispatcherHarness();

	private static RunnerInfo lookup(String id, RunnerIncarnation incarnation, boolean draining, long revision) {
		return new RunnerInfo(id, "registry-api", "10.0.1.1:80", "hall-a", 6, draining, 0, Map.of(), revision,
				incarnation);
	}

	private List<String> send(Route route) {
		this.harness.arrive(route);
		return this.harness.effectNames();
	}

	private void rest(RunnerInfo runner, long millis) {
		this.harness.dispatcher.departures().restStated(runner, Duration.ofMillis(millis), this.harness.nowNanos);
	}

	// Guards against requests to a runner that wants none; the others are used.
	@ParameterizedTest
	@CsvSource({ "500", "3000", "20000" })
	void restingRunnerIsPassedOverUntilItsEnd(long restMillis) {
		RunnerInfo resting = DispatcherHarness.engine("e1");
		this.harness.register(resting, DispatcherHarness.engine("e2"));
		rest(resting, restMillis);
		this.harness.advance(restMillis - 1);
		IntStream.range(0, 8).forEach((i) -> assertThat(send(DispatcherHarness.STREAM), Matchers.contains("Send:e2")));
		this.harness.advance(1);
		List<String> sent = IntStream.range(0, 8).mapToObj((i) -> send(DispatcherHarness.STREAM).getFirst()).toList();
		assertThat(sent, Matchers.hasItem("Send:e1"));
	}

	// Guards against a shorter rest, a renewed registration or an engine status that ends
	// a rest early.
	@Test
	void restIsKeptWhateverElseIsLearned() {
		RunnerInfo runner = lookup("r1", FIRST, false, 1);
		this.harness.register(runner);
		rest(runner, 3000);
		rest(runner, 200);
		this.harness.register(lookup("r1", FIRST, false, 2));
		this.harness.advance(2000);
		assertThat(send(DispatcherHarness.LOOKUP), Matchers.contains("Refuse:runner-resting"));
	}

	// Guards against callers that wait in vain or come back too early: they are
	// refused at once, with the time until the first runner takes requests again.
	@Test
	void callersAreRefusedAtOnceWhileAllRunnersRest() {
		RunnerInfo first = DispatcherHarness.engine("e1");
		RunnerInfo second = DispatcherHarness.engine("e2");
		this.harness.register(first, second);
		rest(first, 8000);
		rest(second, 5000);
		this.harness.advance(1000);
		this.harness.arrive(DispatcherHarness.STREAM);
		List<DispatchEffect> effects = this.harness.drain();
		assertThat(effects, Matchers.contains(Matchers.instanceOf(DispatchEffect.Refuse.class)));
		DispatchEffect.Refuse refuse = (DispatchEffect.Refuse) effects.getFirst();
		assertThat(refuse.code().name(), Matchers.equalTo("runner-resting"));
		assertThat(refuse.retryAfterMillis(), Matchers.equalTo(4000L));
	}

	// A rest that ends within the usual wait for a runner is waited for.
	@Test
	void requestWaitsForTheEndOfAShortRest() {
		RunnerInfo runner = DispatcherHarness.engine("e1");
		this.harness.register(runner);
		rest(runner, 40);
		assertThat(send(DispatcherHarness.STREAM), Matchers.empty());
		this.harness.advance(40);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:e1"));
	}

	// Guards against statements of an earlier incarnation that keep a restarted runner
	// from being used.
	@Test
	void statementsEndWithTheIncarnation() {
		RunnerInfo before = lookup("r1", FIRST, false, 1);
		this.harness.register(before);
		rest(before, 60_000);
		assertThat(this.harness.dispatcher.departures().leavingStated(before), Matchers.is(true));
		this.harness.register(lookup("r1", SECOND, false, 2));
		assertThat(send(DispatcherHarness.LOOKUP), Matchers.contains("Send:r1"));
		rest(before, 60_000);
		assertThat(this.harness.dispatcher.departures().leavingStated(before), Matchers.is(false));
		assertThat(send(DispatcherHarness.LOOKUP), Matchers.contains("Send:r1"));
	}

	// Guards against a registration from before that makes a leaving runner ready again.
	@Test
	void leavingRunnerStaysSoWhateverItsRegistrationSays() {
		RunnerInfo runner = lookup("r1", FIRST, false, 1);
		this.harness.register(runner);
		this.harness.dispatcher.departures().leavingStated(runner);
		this.harness.register(lookup("r1", FIRST, false, 2));
		this.harness.dispatcher.departures().registrationRemoved("r1", this.harness.nowNanos);
		this.harness.register(lookup("r1", FIRST, false, 3));
		assertThat(send(DispatcherHarness.LOOKUP), Matchers.empty());
	}

	// Guards against a statement that is lost because the registration had expired
	// when it arrived: the runner is ready again once it is restored.
	@Test
	void statementsHoldForARunnerWhoseRegistrationIsRestored() {
		RunnerInfo leaving = lookup("r1", FIRST, false, 1);
		this.harness.register(leaving);
		this.harness.dispatcher.departures().registrationRemoved("r1", this.harness.nowNanos);
		assertThat(this.harness.dispatcher.departures().leavingStated(leaving), Matchers.is(true));
		rest(leaving, 5000);
		this.harness.register(lookup("r1", FIRST, false, 2));
		assertThat(send(DispatcherHarness.LOOKUP), Matchers.empty());
	}

	// Guards against a statement that is lost because the registration did not name the
	// incarnation yet when the request was sent.
	@Test
	void statementOfARunnerWithoutAKnownIncarnationHolds() {
		RunnerInfo before = lookup("r1", RunnerIncarnation.UNKNOWN, false, 1);
		this.harness.register(before);
		this.harness.register(lookup("r1", FIRST, false, 2));
		assertThat(this.harness.dispatcher.departures().leavingStated(before), Matchers.is(true));
		assertThat(send(DispatcherHarness.LOOKUP), Matchers.empty());
	}

	// A rest that is out of all proportion is an error of the runner.
	@Test
	void longRestIsLimited() {
		RunnerInfo runner = lookup("r1", FIRST, false, 1);
		this.harness.register(runner);
		rest(runner, Duration.ofHours(20).toMillis());
		this.harness.advance(Duration.ofMinutes(5).toMillis());
		assertThat(send(DispatcherHarness.LOOKUP), Matchers.contains("Send:r1"));
	}

}
