package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.TargetWeights;

import static org.hamcrest.MatcherAssert.assertThat;

class WeightsSwitchTests {

	private final RunnerInfo switching = DispatcherHarness.engine("e1");

	private final RunnerInfo serving = DispatcherHarness.engine("e2");

	private final DispatcherHarness harness = new DispatcherHarness().register(this.switching, this.serving);

	private void scheduleSwitch(RunnerInfo engine, long inMillis) {
		this.harness.dispatcher.updateEngineStatus(engine.address(),
				new EngineStatus(OptionalInt.of(1), false,
						OptionalLong.of(this.harness.nowNanos + inMillis * DispatcherHarness.NANOS_PER_MILLI),
						RunnerIncarnation.UNKNOWN),
				this.harness.nowNanos);
	}

	private List<String> arrive(int answerTokens) {
		this.harness.arrive(DispatcherHarness.STREAM, new Job.Size(500, 250, OptionalInt.of(answerTokens)), 6000);
		return this.harness.effectNames();
	}

	// A long response would delay the weights switch of the less busy engine, with its
	// other slots empty. A short one ends before the switch.
	@ParameterizedTest
	@CsvSource({ "20,Send:e1", "250,Send:e2" })
	void engineGetsOnlyRequestsThatEndBeforeItsSwitch(int answerTokens, String sent) {
		this.harness.reportPeerLoad("e2", new InFlightLoad(8, 2, 2000));
		scheduleSwitch(this.switching, 900);
		assertThat(arrive(answerTokens), Matchers.contains(sent));
	}

	// A delayed weights switch is better than a refused request.
	@Test
	void longResponseIsSentWhenAllEnginesSwitchSoon() {
		scheduleSwitch(this.switching, 400);
		scheduleSwitch(this.serving, 500);
		assertThat(arrive(250), Matchers.contains(Matchers.startsWith("Send")));
	}

	@Test
	void engineGetsLongResponsesAfterItsSwitch() {
		scheduleSwitch(this.switching, 300);
		this.harness.dispatcher.updateEngineStatus(this.switching.address(),
				new EngineStatus(OptionalInt.of(2), false, OptionalLong.empty(), RunnerIncarnation.UNKNOWN),
				this.harness.nowNanos);
		this.harness.reportPeerLoad("e2", new InFlightLoad(8, 2, 2000));
		assertThat(arrive(250), Matchers.contains("Send:e1"));
	}

	// Guards against cutting a stream at a weights switch because the first event, which
	// the caller already has, is not yet known to the thread that decides.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void streamThatHasBegunIsNotCancelledAtTheSwitch(boolean resumable) {
		Job job = this.harness.arrive(resumable ? DispatcherHarness.STREAM : DispatcherHarness.STREAM_ONCE, 500,
				12_000);
		this.harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, this.harness.nowNanos);
		this.harness.effectNames();
		for (int millis = 0; millis < 9000; millis += 100) {
			this.harness.advance(100);
			job.recordEvents(1, Optional.of(String.valueOf(millis)), this.harness.nowNanos);
		}
		assertThat(this.harness.effectNames(), Matchers.empty());
	}

}
