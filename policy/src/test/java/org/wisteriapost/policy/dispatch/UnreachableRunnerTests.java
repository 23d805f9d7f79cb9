package org.wisteriapost.policy.dispatch;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.fleet.TargetWeights;

import static org.hamcrest.MatcherAssert.assertThat;

class UnreachableRunnerTests {

	private static final long STEP_MILLIS = 20;

	private static final long FIRST_EVENT_MILLIS = 160;

	// Failure: a stream that started before its runner became unreachable ended
	// successfully, which reinstated the runner and sent all requests there.
	@Test
	void completedEarlierStreamDoesNotReinstateUnreachableRunner() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		Job old = harness.arrive(DispatcherHarness.STREAM);
		harness.advance(FIRST_EVENT_MILLIS);
		harness.firstEvent(old);
		Job failing = harness.arrive(DispatcherHarness.STREAM);
		harness.advance(400);
		harness.register(DispatcherHarness.engine("b"));
		harness.ended(failing, DispatchOutcome.NOT_SENT);
		harness.advance(40);
		harness.ended(old, DispatchOutcome.DONE);
		harness.effectNames();
		for (int i = 0; i < 12; i++) {
			harness.arrive(DispatcherHarness.STREAM, 100, 6000);
			harness.advance(STEP_MILLIS);
		}
		assertThat(harness.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:b")));
	}

	// Failure: the probe of a runner that is reachable again streams for seconds, during
	// which the other slots of the runner stay empty.
	@Test
	void firstEventOfProbeReinstatesUnreachableRunner() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		harness.ended(harness.arrive(DispatcherHarness.STREAM), DispatchOutcome.NOT_SENT);
		harness.advance(500);
		harness.effectNames();
		Job probe = harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.effectNames(), Matchers.contains("Send:a"));
		harness.advance(FIRST_EVENT_MILLIS);
		harness.register(DispatcherHarness.engine("b"));
		harness.reportPeerLoad("b", new InFlightLoad(6, 3, 3000));
		harness.firstEvent(probe);
		harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.effectNames(), Matchers.contains("Send:a"));
	}

	// Failure: long waits at an unreachable engine restrict requests to the target
	// weights version at all engines, seconds before it takes effect.
	@Test
	void waitsAtUnreachableRunnerDoNotRestrictOtherRunners() {
		DispatcherHarness harness = delayedDuringWeightsSwitch();
		Job failing = harness.arrive(DispatcherHarness.STREAM_ONCE);
		harness.advance(400);
		harness.register(DispatcherHarness.engine("b"));
		harness.ended(failing, DispatchOutcome.NOT_SENT);
		harness.advance(FIRST_EVENT_MILLIS);
		harness.firstEvent(failing);
		harness.advance(740);
		harness.effectNames();
		harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.effectNames(), Matchers.contains("Send:b"));
	}

	// Failure: a request is sent to a runner on probation although the recent waits
	// there are so long that it would start on superseded weights.
	@Test
	void runnerOnProbationIsRestrictedByItsOwnWaits() {
		DispatcherHarness harness = delayedDuringWeightsSwitch();
		Job failing = harness.arrive(DispatcherHarness.STREAM_ONCE);
		harness.advance(400);
		harness.ended(failing, DispatchOutcome.NOT_SENT);
		harness.advance(900);
		harness.effectNames();
		harness.arrive(DispatcherHarness.STREAM);
		harness.advance(200);
		assertThat(harness.effectNames(), Matchers.contains("Refuse:no-usable-runner"));
	}

	// Failure: the registration of an unreachable VM expires and is restored, which
	// discards the ejection of the runner and its in-flight count.
	@Test
	void restoredRegistrationKeepsRunnerState() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"),
				DispatcherHarness.engine("b"));
		Job running = harness.arrive(DispatcherHarness.STREAM);
		String failing = DispatcherHarness.latest(running).map((dispatch) -> dispatch.runner).orElseThrow().info.id();
		String other = failing.equals("a") ? "b" : "a";
		harness.advance(FIRST_EVENT_MILLIS);
		harness.firstEvent(running);
		Job next = harness.arrive(DispatcherHarness.STREAM);
		while (!DispatcherHarness.latest(next).map((dispatch) -> dispatch.runner).orElseThrow().info.id()
			.equals(failing)) {
			harness.ended(next, DispatchOutcome.DONE);
			next = harness.arrive(DispatcherHarness.STREAM);
		}
		harness.ended(next, DispatchOutcome.NOT_SENT);
		harness.dispatcher.departures().registrationRemoved(failing, harness.nowNanos);
		harness.advance(150);
		harness.register(DispatcherHarness.engine(failing));
		harness.drain();
		for (int i = 0; i < 6; i++) {
			harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		}
		assertThat(harness.effectNames(),
				Matchers.allOf(Matchers.hasItem("Send:" + other), Matchers.not(Matchers.hasItem("Send:" + failing))));
		assertThat(
				harness.dispatcher.fleetView()
					.ownLoad()
					.stream()
					.filter((load) -> load.runnerId().equals(failing))
					.toList(),
				Matchers.contains(new RunnerLoad(failing, DispatcherHarness.engine(failing).incarnation(),
						new InFlightLoad(1, 0, 0))));
	}

	// The target version was published 4.5 s ago, and one request has waited at the only
	// engine for one second.
	private static DispatcherHarness delayedDuringWeightsSwitch() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("a"));
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 1), true, harness.nowNanos);
		harness.advance(10_000);
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(3500);
		harness.arrive(DispatcherHarness.STREAM_ONCE);
		harness.advance(500).advance(500);
		return harness;
	}

}
