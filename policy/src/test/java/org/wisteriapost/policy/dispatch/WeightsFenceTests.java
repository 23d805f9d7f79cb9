package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.TargetWeights;

import static org.hamcrest.MatcherAssert.assertThat;

class WeightsFenceTests {

	private static final long SECOND = 1000 * DispatcherHarness.NANOS_PER_MILLI;

	private final WeightsFence fence = new WeightsFence(Duration.ofSeconds(8));

	// A newer target does not affect when an earlier one is required.
	@Test
	void eachVersionIsRequiredAfterItsOwnDelay() {
		this.fence.addTarget(new TargetWeights("lm", 1), false, 0);
		this.fence.addTarget(new TargetWeights("lm", 2), false, 20 * SECOND);
		assertThat(this.fence.requiredVersion("lm", 22 * SECOND), Matchers.equalTo(OptionalInt.of(1)));
		assertThat(this.fence.requiredVersion("lm", 27 * SECOND), Matchers.equalTo(OptionalInt.of(2)));
	}

	// Failure: a third version published before the second takes effect replaces it, so
	// that engines on the first one get requests after the promised time.
	@Test
	void newerTargetDoesNotDelayEarlierTarget() {
		this.fence.addTarget(new TargetWeights("lm", 2), false, 20 * SECOND);
		this.fence.addTarget(new TargetWeights("lm", 3), false, 23 * SECOND);
		assertThat(this.fence.requiredVersion("lm", 22 * SECOND), Matchers.equalTo(OptionalInt.empty()));
		assertThat(this.fence.requiredVersion("lm", 27 * SECOND), Matchers.equalTo(OptionalInt.of(2)));
		assertThat(this.fence.requiredVersion("lm", 30 * SECOND), Matchers.equalTo(OptionalInt.of(3)));
	}

	@Test
	void targetFoundAtStartupIsRequiredSoon() {
		this.fence.addTarget(new TargetWeights("lm", 2), true, 20 * SECOND);
		assertThat(this.fence.requiredVersion("lm", 23 * SECOND), Matchers.equalTo(OptionalInt.of(2)));
	}

	@Test
	void olderTargetIsIgnored() {
		this.fence.addTarget(new TargetWeights("lm", 3), false, 0);
		this.fence.addTarget(new TargetWeights("lm", 2), false, SECOND);
		assertThat(this.fence.requiredVersion("lm", 20 * SECOND), Matchers.equalTo(OptionalInt.of(3)));
	}

	@Test
	void engineOnOlderVersionGetsNoRequestsOnceTargetIsRequired() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("old"),
				new RunnerInfo("new", "lm-notice", "10.0.0.9:80", "hall-a", 16, false, 0, Map.of("lm", 2), 0,
						RunnerIncarnation.UNKNOWN));
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 1), true, harness.nowNanos);
		harness.advance(10_000);
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(7000);
		for (int i = 0; i < 10; i++) {
			harness.arrive(DispatcherHarness.STREAM);
		}
		assertThat(harness.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:new")));
	}

	private static DispatcherHarness withOlderWeights() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("old"));
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 1), true, harness.nowNanos);
		return harness.advance(10_000);
	}

	private static RunnerInfo engineWithTargetWeights() {
		return new RunnerInfo("new", "lm-notice", "10.0.0.9:80", "hall-a", 16, false, 0, Map.of("lm", 2), 0,
				RunnerIncarnation.UNKNOWN);
	}

	// Failure: in a burst, requests sent within the default margin wait 1.3 s at the
	// engine and start on the older version after the target version took effect.
	@Test
	void marginGrowsWithObservedWait() {
		DispatcherHarness harness = withOlderWeights();
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(4300);
		Job slow = harness.arrive(DispatcherHarness.STREAM);
		harness.advance(900).advance(400);
		harness.firstEvent(slow);
		harness.effectNames();
		harness.register(engineWithTargetWeights()).advance(400);
		for (int i = 0; i < 8; i++) {
			harness.arrive(DispatcherHarness.STREAM);
		}
		assertThat(harness.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:new")));
	}

	// Failure: the long waits of late requests restrict other requests to the target
	// version too early, and these are refused although engines could still serve them.
	@Test
	void waitOfLateRequestsDoesNotRestrictOthers() {
		DispatcherHarness harness = withOlderWeights();
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(4900);
		harness.dispatcher
			.recordPeerRefusal(new RefusedRequest(7, harness.nowNanos - 2000 * DispatcherHarness.NANOS_PER_MILLI,
					harness.nowNanos + 4000 * DispatcherHarness.NANOS_PER_MILLI));
		Job late = harness.arrive(DispatcherHarness.STREAM, new Job.Size(1000, 100, OptionalInt.empty()), 4000,
				java.util.OptionalLong.of(7));
		for (int i = 0; i < 10; i++) {
			harness.advance(110);
		}
		harness.firstEvent(late);
		harness.effectNames();
		harness.advance(200);
		harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.effectNames(), Matchers.contains("Send:old"));
	}

	// A request that waits longer than predicted is cancelled just before the target
	// version takes effect and sent to an engine that holds it.
	@Test
	void requestThatMissesStartDeadlineIsRetriedElsewhere() {
		DispatcherHarness harness = withOlderWeights();
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(6750);
		harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.effectNames(), Matchers.contains("Send:old"));
		harness.register(engineWithTargetWeights());
		for (int i = 0; i < 58; i++) {
			harness.advance(20);
		}
		assertThat(harness.effectNames(), Matchers.contains("Stop", "Send:new"));
	}

	// The request may have just started, so it is not sent to another engine.
	@Test
	void nonRepeatableRequestThatMissesStartDeadlineFails() {
		DispatcherHarness harness = withOlderWeights();
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(6750);
		harness.arrive(DispatcherHarness.STREAM_ONCE);
		harness.effectNames();
		for (int i = 0; i < 58; i++) {
			harness.advance(20);
		}
		assertThat(harness.effectNames(), Matchers.contains("Stop", "Fail:run-broken"));
	}

	// The engine switched while the request waited, so the request starts on the target
	// version.
	@Test
	void requestAtEngineThatHasSwitchedIsNotCancelled() {
		DispatcherHarness harness = withOlderWeights();
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(6750);
		harness.arrive(DispatcherHarness.STREAM);
		harness.effectNames();
		harness.dispatcher.updateEngineStatus(DispatcherHarness.engine("old").address(),
				new EngineStatus(OptionalInt.of(2), false, java.util.OptionalLong.empty(), RunnerIncarnation.UNKNOWN),
				harness.nowNanos);
		for (int i = 0; i < 58; i++) {
			harness.advance(20);
		}
		assertThat(harness.effectNames(), Matchers.empty());
	}

	// Failure: a stream that breaks when the target version takes effect is resumed from
	// the start on the superseded version.
	@Test
	void brokenStreamIsNotResumedOnSupersededWeights() {
		DispatcherHarness harness = withOlderWeights().register(DispatcherHarness.engine("old-too"));
		harness.dispatcher.targetWeightsPublished(new TargetWeights("lm", 2), false, harness.nowNanos);
		harness.advance(5000);
		Job job = harness.arrive(DispatcherHarness.STREAM);
		job.recordWeightsVersion(OptionalInt.of(1));
		harness.firstEvent(job);
		harness.effectNames();
		for (int i = 0; i < 10; i++) {
			harness.advance(200);
			job.recordEvents(1, java.util.Optional.of("2"), harness.nowNanos);
		}
		harness.ended(job, DispatchOutcome.BROKEN);
		for (int i = 0; i < 20; i++) {
			harness.advance(20);
		}
		assertThat(harness.effectNames(), Matchers.contains("Fail:run-broken"));
	}

}
