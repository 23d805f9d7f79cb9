package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.TargetWeights;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A stream that was sent to a second engine because the first one is silent.
 */
class HedgedRequestTests {

	private static final int REQUEST_MILLIS = 15_000;

	private final DispatcherHarness harness = new DispatcherHarness();

	private Job job;

	// The first event arrives, then the engine is silent and the second one is tried.
	@BeforeEach
	void hedge() {
		this.harness.register(DispatcherHarness.engine("e1"));
		this.job = this.harness.arrive(DispatcherHarness.STREAM, 1000, REQUEST_MILLIS);
		this.harness.event(this.job, 1);
		this.harness.register(DispatcherHarness.engine("e2"));
		this.harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, this.harness.nowNanos);
		advance(1100);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:e1", "Send:e2"));
	}

	private void advance(int millis) {
		for (int i = 0; i < millis; i += 20) {
			this.harness.advance(20);
		}
	}

	private void assertNothingIsLeft() {
		assertThat(this.harness.open(this.job), Matchers.anEmptyMap());
		assertThat(this.harness.dispatcher.inProgress(), Matchers.equalTo(0));
		List<InFlightLoad> loads = this.harness.dispatcher.fleetView()
			.ownLoad()
			.stream()
			.map(RunnerLoad::load)
			.toList();
		assertThat(loads, Matchers.everyItem(Matchers.equalTo(InFlightLoad.NONE)));
	}

	// Guards against a runner that works on for a caller that is gone.
	@Test
	void callerDisconnectCancelsBothDispatches() {
		this.harness.dispatcher.callerDisconnected(this.job, this.harness.nowNanos);
		assertThat(this.harness.effectNames(), Matchers.contains("Stop", "Stop"));
		assertNothingIsLeft();
	}

	// Guards against dispatches that outlive their request.
	@Test
	void deadlineCancelsBothDispatches() {
		this.harness.ended(this.job, 2, DispatchOutcome.FULL);
		this.harness.drain();
		advance(100);
		assertThat(this.harness.effectNames(), Matchers.empty());
		advance(REQUEST_MILLIS);
		assertThat(this.harness.effectNames(), Matchers.hasItem("Fail:time-over"));
		assertNothingIsLeft();
	}

	// Guards against a second runner's output that is dropped, and a first one that runs
	// on beside it.
	@ParameterizedTest
	@CsvSource({ "1, 2", "2, 1" })
	void dispatchWithOutputEndsTheOther(int winner, int other) {
		this.harness.event(this.job, winner);
		assertThat(this.harness.effectNames(), Matchers.contains("Stop"));
		assertThat(this.harness.open(this.job).keySet(), Matchers.contains(winner));
		this.harness.ended(this.job, winner, DispatchOutcome.DONE);
		this.harness.dispatcher.dispatchEnded(this.job, other, DispatchOutcome.DISCONNECTED, this.harness.nowNanos);
		assertThat(this.harness.effectNames(), Matchers.empty());
		assertNothingIsLeft();
	}

	// Guards against a stream that is cut although the first engine still has it: the
	// second one has not started before its weights are replaced.
	@Test
	void weightsSwitchEndsOnlyTheDispatchThatHasNotStarted() {
		advance(8000);
		assertThat(this.harness.effectNames(), Matchers.contains("Stop"));
		assertThat(this.harness.open(this.job).keySet(), Matchers.contains(1));
		this.harness.event(this.job, 1);
		this.harness.ended(this.job, 1, DispatchOutcome.DONE);
		assertThat(this.harness.effectNames(), Matchers.empty());
		assertNothingIsLeft();
	}

	// Guards against a request that waits for its deadline without any dispatch: the
	// second one had output, which ended the first, at the moment of its cancellation.
	@Test
	void requestWithoutDispatchIsNotLeftWaiting() {
		advance(8000);
		this.harness.dispatcher.dispatchSuperseded(this.job, 1, 2, this.harness.nowNanos);
		assertThat(this.harness.effectNames(), Matchers.contains("Stop", "Stop", "Fail:run-broken"));
		assertNothingIsLeft();
	}

	// Guards against a request that ends with its first runner while the second has it.
	@ParameterizedTest
	@EnumSource(names = { "DISCONNECTED", "BROKEN" })
	void secondDispatchGoesOnWhenTheFirstIsLost(DispatchOutcome outcome) {
		this.harness.ended(this.job, 1, outcome);
		assertThat(this.harness.effectNames(), Matchers.empty());
		this.harness.event(this.job, 2);
		this.harness.ended(this.job, 2, DispatchOutcome.DONE);
		assertThat(this.harness.effectNames(), Matchers.empty());
		assertNothingIsLeft();
	}

	// Guards against a sound engine that stays without requests after a pause. While it
	// is silent it gets none.
	@ParameterizedTest
	@ValueSource(ints = { 2, 4 })
	void engineIsUsedAgainAsSoonAsItGoesOn(int silentRequests) {
		DispatcherHarness fleet = new DispatcherHarness().register(DispatcherHarness.engine("e1"));
		List<Job> jobs = IntStream.range(0, silentRequests)
			.mapToObj((i) -> fleet.arrive(DispatcherHarness.STREAM, 100, REQUEST_MILLIS))
			.toList();
		jobs.forEach(fleet::firstEvent);
		fleet.advance(1100);
		fleet.register(DispatcherHarness.engine("e2"));
		fleet.effectNames();
		sendSome(fleet);
		assertThat(fleet.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:e2")));
		jobs.forEach((silent) -> fleet.event(silent, 1));
		fleet.advance(20);
		fleet.effectNames();
		sendSome(fleet);
		assertThat(fleet.effectNames(), Matchers.hasItem("Send:e1"));
	}

	// Guards against a sound engine that is ejected for one error, since the errors that
	// its silence counted as are still held against it.
	@Test
	void silenceThatIsOverIsNotHeldAgainstTheEngine() {
		DispatcherHarness fleet = new DispatcherHarness().register(DispatcherHarness.engine("e1"));
		List<Job> jobs = IntStream.range(0, 8)
			.mapToObj((i) -> fleet.arrive(DispatcherHarness.STREAM, 100, REQUEST_MILLIS))
			.toList();
		jobs.forEach(fleet::firstEvent);
		fleet.advance(1100);
		jobs.forEach((silent) -> fleet.event(silent, 1));
		fleet.advance(20);
		Job failing = fleet.arrive(DispatcherHarness.STREAM, 100, REQUEST_MILLIS);
		fleet.register(DispatcherHarness.engine("e2"));
		fleet.ended(failing, DispatchOutcome.ERROR);
		jobs.forEach((silent) -> fleet.ended(silent, DispatchOutcome.DONE));
		fleet.effectNames();
		sendSome(fleet);
		assertThat(fleet.effectNames(), Matchers.hasItem("Send:e1"));
	}

	private static void sendSome(DispatcherHarness fleet) {
		for (int i = 0; i < 6; i++) {
			fleet.arrive(DispatcherHarness.STREAM, 100, REQUEST_MILLIS);
		}
	}

}
