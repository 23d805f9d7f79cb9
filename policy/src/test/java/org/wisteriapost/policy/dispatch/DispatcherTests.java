package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.policy.routing.Route;

import static org.hamcrest.MatcherAssert.assertThat;

class DispatcherTests {

	// A second execution of an at-most-once request would, for example, allocate a
	// second number. It may only be retried if the runner guarantees that it was not
	// executed.
	@ParameterizedTest
	@EnumSource(names = { "DISCONNECTED", "BROKEN", "ERROR" })
	void atMostOnceRequestIsNotRetriedAfterPossibleExecution(DispatchOutcome outcome) {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("r1"),
				DispatcherHarness.plain("r2"));
		Job job = harness.arrive(DispatcherHarness.ALLOCATE);
		assertThat(harness.effectNames(), Matchers.hasSize(1));
		harness.ended(job, outcome);
		harness.advance(1000);
		assertThat(harness.effectNames(), Matchers.not(Matchers.hasItem(Matchers.startsWith("Send"))));
	}

	@ParameterizedTest
	@EnumSource(names = { "NOT_SENT", "FULL", "MISDIRECTED" })
	void unexecutedRequestIsSentToAnotherRunner(DispatchOutcome outcome) {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("r1"),
				DispatcherHarness.plain("r2"));
		Job job = harness.arrive(DispatcherHarness.ALLOCATE);
		String first = harness.effectNames().getFirst();
		harness.ended(job, outcome);
		List<String> then = harness.effectNames();
		assertThat(then, Matchers.hasSize(1));
		assertThat(then.getFirst(), Matchers.allOf(Matchers.startsWith("Send"), Matchers.not(first)));
	}

	@Test
	void repeatableRequestIsLimitedToMaxAttempts() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("r1"),
				DispatcherHarness.plain("r2"), DispatcherHarness.plain("r3"));
		Job job = harness.arrive(DispatcherHarness.LOOKUP);
		harness.ended(job, DispatchOutcome.BROKEN);
		harness.ended(job, DispatchOutcome.BROKEN);
		assertThat(harness.effectNames(), Matchers.contains(Matchers.startsWith("Send"), Matchers.startsWith("Send"),
				Matchers.equalTo("Fail:run-broken")));
	}

	// The error response of the runner is the final response if no other runner may be
	// used.
	@Test
	void errorResponseIsForwardedWhenRetryIsNotAllowed() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("r1"));
		Job job = harness.arrive(DispatcherHarness.ALLOCATE);
		harness.ended(job, DispatchOutcome.ERROR);
		assertThat(harness.effectNames(), Matchers.contains("Send:r1", "PassOn"));
	}

	static Stream<Arguments> streams() {
		return Stream.of(Arguments.of(DispatcherHarness.STREAM, "Send"),
				Arguments.of(DispatcherHarness.STREAM_ONCE, "Fail:run-broken"));
	}

	// A resumable stream continues at another runner after its last event. Another
	// stream fails, since a second run would start from the beginning.
	@ParameterizedTest
	@MethodSource("streams")
	void brokenStreamIsResumedOnlyIfResumable(Route route, String expected) {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"),
				DispatcherHarness.engine("e2"));
		Job job = harness.arrive(route);
		harness.firstEvent(job);
		harness.effectNames();
		harness.ended(job, DispatchOutcome.BROKEN);
		assertThat(harness.effectNames().getFirst(), Matchers.startsWith(expected));
	}

	// Failure: the engine accepts the request and becomes unreachable, and the caller
	// waits until it gives up. Its dispatch is ended as soon as another engine answers.
	@Test
	void requestAtSilentEngineIsRetriedElsewhere() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"),
				DispatcherHarness.engine("e2"));
		Job job = harness.arrive(DispatcherHarness.STREAM);
		String first = harness.effectNames().getFirst();
		for (int i = 0; i < 100; i++) {
			harness.advance(20);
		}
		List<String> then = harness.effectNames();
		assertThat(then, Matchers.contains(Matchers.allOf(Matchers.startsWith("Send"), Matchers.not(first))));
		harness.firstEvent(job);
		assertThat(harness.effectNames(), Matchers.contains("Stop"));
		assertThat(harness.open(job).keySet(), Matchers.contains(2));
	}

	@Test
	void expiredRequestIsRefusedOnlyIfNeverDispatched() {
		DispatcherHarness withoutRunner = new DispatcherHarness();
		withoutRunner.arrive(DispatcherHarness.ALLOCATE);
		withoutRunner.advance(700);
		assertThat(withoutRunner.effectNames(), Matchers.contains(Matchers.startsWith("Refuse")));
		DispatcherHarness withRunner = new DispatcherHarness().register(DispatcherHarness.plain("r1"));
		withRunner.arrive(DispatcherHarness.ALLOCATE);
		withRunner.advance(700);
		assertThat(withRunner.effectNames(), Matchers.contains("Send:r1", "Stop", "Fail:time-over"));
	}

	@Test
	void callerDisconnectCancelsDispatch() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"));
		Job job = harness.arrive(DispatcherHarness.STREAM);
		harness.dispatcher.callerDisconnected(job, harness.nowNanos);
		assertThat(harness.effectNames(), Matchers.contains("Send:e1", "Stop"));
		assertThat(harness.dispatcher.inProgress(), Matchers.equalTo(0));
	}

	@Test
	void deregisteredRunnerGetsNoNewRequests() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("r1"),
				DispatcherHarness.plain("r2"));
		harness.dispatcher.departures().registrationRemoved("r1", harness.nowNanos);
		for (int i = 0; i < 20; i++) {
			harness.ended(harness.arrive(DispatcherHarness.LOOKUP), DispatchOutcome.DONE);
		}
		assertThat(harness.effectNames(), Matchers.everyItem(Matchers.equalTo("Send:r2")));
	}

	// Failure: all registrations expire during a store outage and the entry has no
	// runners left. A runner that is still missing some time after the outage is
	// removed.
	@Test
	void registrationsThatExpireDuringStoreOutageAreKeptForGracePeriod() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("r1"));
		harness.dispatcher.departures().storeReachable(false, harness.nowNanos);
		harness.dispatcher.departures().registrationRemoved("r1", harness.nowNanos);
		harness.ended(harness.arrive(DispatcherHarness.LOOKUP), DispatchOutcome.DONE);
		assertThat(harness.effectNames(), Matchers.contains("Send:r1"));
		harness.advance(5000);
		harness.dispatcher.departures().storeReachable(true, harness.nowNanos);
		harness.advance(1000);
		harness.ended(harness.arrive(DispatcherHarness.LOOKUP), DispatchOutcome.DONE);
		assertThat(harness.effectNames(), Matchers.contains("Send:r1"));
		harness.advance(2000);
		harness.arrive(DispatcherHarness.LOOKUP);
		harness.advance(300);
		assertThat(harness.effectNames(), Matchers.contains("Refuse:no-usable-runner"));
	}

}
