package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;

class LoadTests {

	// A burst of twice the capacity: requests that can meet their latency target are
	// sent, the others are refused early instead of at their deadline.
	@Test
	void burstBeyondCapacityIsPartlyRefused() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"),
				DispatcherHarness.engine("e2"));
		for (int i = 0; i < 80; i++) {
			harness.arrive(DispatcherHarness.STREAM);
		}
		for (int i = 0; i < 30; i++) {
			harness.advance(20);
		}
		List<String> effects = harness.effectNames();
		long sent = effects.stream().filter((effect) -> effect.startsWith("Send")).count();
		long refused = effects.stream().filter((effect) -> effect.equals("Refuse:no-room")).count();
		assertThat(sent, Matchers.allOf(Matchers.greaterThan(10L), Matchers.lessThanOrEqualTo(32L)));
		assertThat(sent + refused, Matchers.equalTo(80L));
	}

	// Balancing by request count would send a short prompt to the engine with the long
	// prompts.
	@Test
	void shortPromptIsSentToEngineWithFewerWaitingTokens() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"),
				DispatcherHarness.engine("e2"));
		harness.reportPeerLoad("e1", new InFlightLoad(3, 3, 9000));
		harness.reportPeerLoad("e2", new InFlightLoad(3, 3, 600));
		harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		assertThat(harness.effectNames(), Matchers.contains("Send:e2"));
	}

	// An engine whose first events take six times as long as predicted gets fewer and
	// fewer requests.
	@Test
	void engineSlowerThanPredictedGetsFewerRequests() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"),
				DispatcherHarness.engine("e2"));
		int slow = 0;
		for (int i = 0; i < 60; i++) {
			Job job = harness.arrive(DispatcherHarness.STREAM);
			boolean sentToSlow = harness.effectNames().contains("Send:e1");
			slow += (sentToSlow && i >= 30) ? 1 : 0;
			harness.advance(sentToSlow ? 900 : 110);
			harness.firstEvent(job);
			harness.ended(job, DispatchOutcome.DONE);
			harness.effectNames();
		}
		assertThat(slow, Matchers.lessThan(5));
	}

	// First events that take three times the nominal time at any engine reduce admission
	// at all engines of the service.
	@Test
	void lateFirstEventsReduceAdmissionForService() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"),
				DispatcherHarness.engine("e2"), DispatcherHarness.engine("e3"));
		for (int i = 0; i < 40; i++) {
			Job job = harness.arrive(DispatcherHarness.STREAM);
			harness.effectNames();
			harness.advance(390);
			harness.firstEvent(job);
			harness.ended(job, DispatchOutcome.DONE);
		}
		harness.effectNames();
		for (int i = 0; i < 60; i++) {
			harness.arrive(DispatcherHarness.STREAM);
		}
		for (int i = 0; i < 15; i++) {
			harness.advance(20);
		}
		long sent = harness.effectNames().stream().filter((effect) -> effect.startsWith("Send")).count();
		assertThat(sent, Matchers.lessThan(40L));
	}

	// A burst of prompts at engines with one slot in eight free: refusing the requests
	// that
	// would be late by a little leaves the slots empty.
	@ParameterizedTest
	@CsvSource({ "7000,true", "12000,false" })
	void lastSlotsAreFilledUnlessFirstEventWouldBeFarTooLate(long waitingTokens, boolean sent) {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"));
		harness.reportPeerLoad("e1", new InFlightLoad(14, 7, waitingTokens));
		harness.arrive(DispatcherHarness.STREAM);
		assertThat(harness.effectNames().contains("Send:e1"), Matchers.is(sent));
	}

	// Requests that cannot get a slot within a third of their latency target are refused
	// early.
	@Test
	void waitingRequestsAreBounded() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"));
		harness.reportPeerLoad("e1", new InFlightLoad(16, 0, 0));
		for (int i = 0; i < 10; i++) {
			harness.arrive(DispatcherHarness.STREAM);
		}
		List<String> effects = harness.effectNames();
		long sent = effects.stream().filter((effect) -> effect.startsWith("Send")).count();
		long refused = effects.stream().filter((effect) -> effect.startsWith("Refuse")).count();
		assertThat("queued by the engine", sent, Matchers.lessThanOrEqualTo(2L));
		assertThat("waiting in the entry", 10 - sent - refused, Matchers.lessThanOrEqualTo(1L));
		harness.advance(160);
		assertThat(harness.dispatcher.inProgress(), Matchers.equalTo((int) sent));
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 11, 40 })
	void uniformLoadIsBalanced(int engines) {
		DispatcherHarness harness = new DispatcherHarness();
		for (int i = 0; i < engines; i++) {
			harness.register(DispatcherHarness.engine("engine-" + i));
		}
		for (int i = 0; i < engines * 4; i++) {
			harness.arrive(DispatcherHarness.STREAM, 200, 6000);
		}
		List<String> effects = new ArrayList<>(harness.effectNames());
		int max = 0;
		for (String effect : effects) {
			max = Math.max(max, Collections.frequency(effects, effect));
		}
		assertThat(max, Matchers.lessThanOrEqualTo(7));
	}

	// Failure: after a third of the runners is lost, requests keep being sent to them.
	@Test
	void runnerIsEjectedAfterFirstFailedConnection() {
		DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.plain("r1"),
				DispatcherHarness.plain("r2"), DispatcherHarness.plain("r3"));
		int failed = 0;
		for (int i = 0; i < 30; i++) {
			Job job = harness.arrive(DispatcherHarness.LOOKUP);
			if (harness.effectNames().contains("Send:r1")) {
				failed++;
				harness.ended(job, DispatchOutcome.NOT_SENT);
				harness.effectNames();
			}
			harness.ended(job, DispatchOutcome.DONE);
			harness.advance(5);
		}
		assertThat(failed, Matchers.equalTo(1));
	}

	// Entries share the retry budget without coordination and must not exceed it
	// together.
	@Test
	void entriesTogetherStayWithinRetryBudget() {
		int entries = 6;
		int requests = 0;
		int retries = 0;
		List<ServiceRetryBudget> all = new ArrayList<>();
		for (int i = 0; i < entries; i++) {
			all.add(new ServiceRetryBudget(0.2, 100, java.time.Duration.ofSeconds(10)));
		}
		for (int milli = 0; milli < 10_000; milli += 20) {
			for (ServiceRetryBudget budget : all) {
				budget.recordFirstDispatch();
				requests++;
				retries += budget.tryAcquire(entries, milli * DispatcherHarness.NANOS_PER_MILLI) ? 1 : 0;
			}
		}
		assertThat((double) retries, Matchers.lessThanOrEqualTo(requests * 0.2 + 100));
		assertThat(retries, Matchers.greaterThan(requests / 10));
	}

}
