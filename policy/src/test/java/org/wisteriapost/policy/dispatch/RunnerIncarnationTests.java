package org.wisteriapost.policy.dispatch;

import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;

import static org.hamcrest.MatcherAssert.assertThat;

class RunnerIncarnationTests {

	private static final RunnerIncarnation FIRST = RunnerIncarnation.startedAt(1_000);

	private static final RunnerIncarnation SECOND = RunnerIncarnation.startedAt(2_000);

	private final DispatcherHarness harness = new DispatcherHarness();

	private static RunnerInfo engine(RunnerIncarnation start, Map<String, Integer> models) {
		return new RunnerInfo("e1", "lm-notice", "10.0.0.1:80", "hall-a", 16, false, 0, models, 0, start);
	}

	private static RunnerInfo draining(RunnerIncarnation start) {
		return new RunnerInfo("e1", "lm-notice", "10.0.0.1:80", "hall-a", 16, true, 0, Map.of("lm", 1), 1, start);
	}

	private void reportStatus(OptionalInt version, RunnerIncarnation start) {
		this.harness.dispatcher.updateEngineStatus("10.0.0.1:80",
				new EngineStatus(version, false, OptionalLong.empty(), start), this.harness.nowNanos);
	}

	private String sendAndGetEffects() {
		this.harness.arrive(DispatcherHarness.STREAM);
		return String.join(",", this.harness.effectNames());
	}

	// Failure: a delayed registration of an earlier incarnation directs requests to an
	// engine that restarted without weights, and they are answered with status 421.
	@Test
	void delayedRegistrationOfEarlierIncarnationIsIgnored() {
		this.harness.register(engine(SECOND, Map.of()), engine(FIRST, Map.of("lm", 1)));
		assertThat(sendAndGetEffects(), Matchers.equalTo(""));
	}

	// The agent reports a new incarnation before its registration is read.
	@Test
	void statusOfLaterIncarnationOverridesRegistration() {
		this.harness.register(engine(FIRST, Map.of("lm", 1)));
		reportStatus(OptionalInt.empty(), SECOND);
		assertThat(sendAndGetEffects(), Matchers.equalTo(""));
		reportStatus(OptionalInt.of(1), SECOND);
		assertThat(sendAndGetEffects(), Matchers.startsWith("Send:e1"));
	}

	// Guards against a runner that is never used again after it has drained and started
	// anew: the agent reports the new incarnation before its registration is read. Until
	// then it gets no requests, as the registered one is draining.
	@Test
	void runnerThatDrainedIsUsedOnceItsNextIncarnationRegisters() {
		this.harness.register(engine(FIRST, Map.of("lm", 1)));
		this.harness.register(draining(FIRST));
		reportStatus(OptionalInt.of(1), SECOND);
		assertThat(sendAndGetEffects(), Matchers.equalTo(""));
		this.harness.register(engine(SECOND, Map.of("lm", 1)));
		assertThat(sendAndGetEffects(), Matchers.startsWith("Send:e1"));
	}

	// Guards against using a runner that drains from the start, or one that is called
	// ready by a copy of the store.
	@Test
	void nextIncarnationThatRegistersAsDrainingIsNotUsed() {
		this.harness.register(draining(FIRST));
		reportStatus(OptionalInt.of(1), SECOND);
		this.harness.register(draining(SECOND));
		this.harness.register(engine(SECOND, Map.of("lm", 1)));
		assertThat(sendAndGetEffects(), Matchers.equalTo(""));
	}

	@Test
	void statusOfEarlierIncarnationIsDiscarded() {
		this.harness.register(engine(FIRST, Map.of("lm", 1)));
		reportStatus(OptionalInt.of(1), FIRST);
		this.harness.register(engine(SECOND, Map.of()));
		assertThat(sendAndGetEffects(), Matchers.equalTo(""));
		reportStatus(OptionalInt.of(1), FIRST);
		assertThat(sendAndGetEffects(), Matchers.equalTo(""));
	}

	// Failure: the load that peers reported for the crashed incarnation keeps the slots
	// of the new one occupied for seconds.
	@Test
	void peerLoadOfEarlierIncarnationIsDiscarded() {
		this.harness.register(engine(FIRST, Map.of("lm", 1)));
		this.harness.dispatcher.peerLoads()
			.update("other", new RunnerLoad("e1", FIRST, new InFlightLoad(18, 0, 0)), this.harness.nowNanos);
		assertThat(sendAndGetEffects(), Matchers.equalTo(""));
		this.harness.register(engine(SECOND, Map.of("lm", 1)));
		this.harness.dispatcher.peerLoads()
			.update("other", new RunnerLoad("e1", FIRST, new InFlightLoad(18, 0, 0)), this.harness.nowNanos);
		assertThat(sendAndGetEffects(), Matchers.startsWith("Send:e1"));
	}

	// The ejection of an earlier incarnation does not apply to the new one.
	@Test
	void failuresOfEarlierIncarnationAreDiscarded() {
		this.harness.register(engine(FIRST, Map.of("lm", 1)), DispatcherHarness.engine("e2"));
		for (int i = 0; i < 6; i++) {
			Job job = this.harness.arrive(DispatcherHarness.STREAM);
			boolean sentToFirst = this.harness.effectNames().contains("Send:e1");
			this.harness.ended(job, sentToFirst ? DispatchOutcome.NOT_SENT : DispatchOutcome.DONE);
			this.harness.effectNames();
		}
		this.harness.register(engine(SECOND, Map.of("lm", 1)));
		this.harness.dispatcher.departures().registrationRemoved("e2", this.harness.nowNanos);
		assertThat(sendAndGetEffects(), Matchers.equalTo("Send:e1"));
	}

	// Failure: after an engine restarted under a new id at the same address, requests
	// are sent to its earlier registration and answered with status 421.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void latestRegistrationAtAddressIsUsed(boolean latestFirst) {
		RunnerInfo former = new RunnerInfo("former", "lm-notice", "10.0.0.1:80", "hall-a", 16, false, 0,
				Map.of("lm", 1), 100, RunnerIncarnation.UNKNOWN);
		RunnerInfo latest = new RunnerInfo("latest", "lm-notice", "10.0.0.1:80", "hall-a", 16, false, 0, Map.of(), 120,
				RunnerIncarnation.UNKNOWN);
		this.harness.register(latestFirst ? latest : former, latestFirst ? former : latest);
		reportStatus(OptionalInt.of(1), RunnerIncarnation.UNKNOWN);
		for (int i = 0; i < 8; i++) {
			this.harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		}
		assertThat(this.harness.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:latest")));
	}

	// Failure: a registration of an undeclared service with the address of a running
	// engine hides that engine.
	@Test
	void registrationOfAnotherServiceDoesNotHideRunner() {
		this.harness.register(engine(RunnerIncarnation.UNKNOWN, Map.of("lm", 1)), new RunnerInfo("odd", "no-service",
				"10.0.0.1:80", "hall-a", 16, false, 0, Map.of("lm", 1), 900, RunnerIncarnation.UNKNOWN));
		assertThat(sendAndGetEffects(), Matchers.equalTo("Send:e1"));
	}

	// Failure: requests are sent to an engine that no longer holds the weights of its
	// latest registration, and are answered with status 421.
	@Test
	void statusWithoutWeightsOverridesRegistration() {
		this.harness.register(engine(RunnerIncarnation.UNKNOWN, Map.of("lm", 1)));
		reportStatus(OptionalInt.empty(), RunnerIncarnation.UNKNOWN);
		assertThat(sendAndGetEffects(), Matchers.equalTo(""));
	}

	// A runner that keeps answering with status 421 gets fewer and fewer requests until
	// its registration or status changes.
	@Test
	void backoffGrowsWithRepeatedMisdirection() {
		this.harness.register(engine(RunnerIncarnation.UNKNOWN, Map.of("lm", 1)));
		int sent = 0;
		for (int i = 0; i < 100; i++) {
			Job job = this.harness.arrive(DispatcherHarness.STREAM);
			if (this.harness.effectNames().contains("Send:e1")) {
				sent++;
				this.harness.ended(job, DispatchOutcome.MISDIRECTED);
			}
			this.harness.dispatcher.callerDisconnected(job, this.harness.nowNanos);
			this.harness.effectNames();
			this.harness.advance(20);
		}
		assertThat(sent, Matchers.lessThanOrEqualTo(7));
		this.harness.register(engine(RunnerIncarnation.UNKNOWN, Map.of("lm", 2)));
		assertThat(sendAndGetEffects(), Matchers.equalTo("Send:e1"));
	}

}
