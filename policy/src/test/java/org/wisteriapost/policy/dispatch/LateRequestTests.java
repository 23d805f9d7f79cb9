package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;

class LateRequestTests {

	private static final Job.Size TYPICAL = new Job.Size(1000, 100, OptionalInt.empty());

	private final DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("e1"));

	private long lastKey;

	// A retry of a request that a peer refused two seconds ago.
	private Job arriveAgain(long remainingMillis) {
		this.lastKey++;
		long askedNanos = this.harness.nowNanos - 2000 * DispatcherHarness.NANOS_PER_MILLI;
		this.harness.dispatcher.recordPeerRefusal(new RefusedRequest(this.lastKey, askedNanos,
				this.harness.nowNanos + remainingMillis * DispatcherHarness.NANOS_PER_MILLI));
		return this.harness.arrive(DispatcherHarness.STREAM, TYPICAL, remainingMillis, OptionalLong.of(this.lastKey));
	}

	private void occupySlots(int requests) {
		this.harness.reportPeerLoad("e1", new InFlightLoad(requests, 0, 0));
	}

	// A late retry whose second refusal would be final is sent if a slot would stay
	// empty otherwise.
	@Test
	void retryUsesSpareSlot() {
		occupySlots(13);
		arriveAgain(4000);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:e1"));
	}

	// While requests that could be in time are refused, late requests get no slots.
	@ParameterizedTest
	@ValueSource(ints = { 8, 0 })
	void slotsAreReservedForRequestsInTimeDuringContention(int occupied) {
		occupySlots(18);
		this.harness.arrive(DispatcherHarness.STREAM, 1000, 6000);
		this.harness.advance(160);
		assertThat(this.harness.effectNames(), Matchers.contains("Refuse:no-room"));
		occupySlots(occupied);
		arriveAgain(4000);
		assertThat(this.harness.effectNames(), Matchers.contains("Refuse:no-room"));
		this.harness.advance(1010);
		arriveAgain(4000);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:e1"));
	}

	// Under a lasting shortage over all entries, this one alone refuses too rarely to
	// notice it, and gives free slots to late requests while its peers refuse others.
	@ParameterizedTest
	@CsvSource({ "lm-notice,0,false", "lm-notice,900,false", "lm-notice,1100,true", "lm-other,0,true" })
	void contentionReportedByPeerReservesSlots(String service, long agoMillis, boolean sent) {
		this.harness.dispatcher.contention().reported(service, Duration.ofMillis(agoMillis), this.harness.nowNanos);
		arriveAgain(4000);
		assertThat(this.harness.effectNames(), Matchers.contains(sent ? "Send:e1" : "Refuse:no-room"));
	}

	// Were an entry to report what its peers reported, contention would never end.
	@Test
	void onlyOwnContentionIsReported() {
		this.harness.dispatcher.contention().reported("lm-notice", Duration.ZERO, this.harness.nowNanos);
		assertThat(this.harness.dispatcher.contention().own(this.harness.nowNanos), Matchers.anEmptyMap());
		occupySlots(18);
		this.harness.arrive(DispatcherHarness.STREAM, 1000, 6000);
		assertThat(this.harness.dispatcher.contention().own(this.harness.nowNanos),
				Matchers.equalTo(Map.of("lm-notice", Duration.ZERO)));
		this.harness.advance(1160);
		assertThat(this.harness.dispatcher.contention().own(this.harness.nowNanos), Matchers.anEmptyMap());
	}

	// A late request is refused by contention alone. It must not prolong it.
	@Test
	void refusedLateRequestsDoNotProlongContention() {
		this.harness.dispatcher.contention().reported("lm-notice", Duration.ofMillis(900), this.harness.nowNanos);
		arriveAgain(4000);
		assertThat(this.harness.dispatcher.contention().own(this.harness.nowNanos), Matchers.anEmptyMap());
	}

	@Test
	void lateRequestWaitsForBoundedTime() {
		occupySlots(18);
		arriveAgain(4000);
		assertThat(this.harness.effectNames(), Matchers.empty());
		this.harness.advance(420);
		assertThat(this.harness.effectNames(), Matchers.contains("Refuse:no-room"));
	}

	// While no engine is available, callers are told to retry as late as their remaining
	// time permits, with jitter to avoid synchronized retries.
	@ParameterizedTest
	@CsvSource({ "6000,1400,2000", "600,140,200" })
	void retryAfterDependsOnRemainingTime(long remaining, long min, long max) {
		DispatcherHarness empty = new DispatcherHarness();
		empty.arrive((remaining > 1000) ? DispatcherHarness.STREAM : DispatcherHarness.LOOKUP, 100, remaining);
		empty.advance(70);
		List<DispatchEffect> effects = empty.drain();
		assertThat(effects, Matchers.hasSize(1));
		long retryAfter = ((DispatchEffect.Refuse) effects.getFirst()).retryAfterMillis();
		assertThat(retryAfter,
				Matchers.allOf(Matchers.greaterThanOrEqualTo(min * 9 / 10), Matchers.lessThanOrEqualTo(max)));
	}

	// Failure: first attempts with different or reduced timeouts are taken for retries
	// and get the rank of late requests.
	@ParameterizedTest
	@MethodSource("timeouts")
	void remainingTimeDoesNotMakeFirstAttemptLate(List<Integer> remainingMillis) {
		for (int remaining : remainingMillis) {
			Job job = this.harness.arrive(DispatcherHarness.STREAM, TYPICAL, remaining,
					OptionalLong.of(this.lastKey++));
			assertThat(sentRanks(), Matchers.contains(DispatcherHarness.STREAM.priority()));
			this.harness.advance(100);
			this.harness.firstEvent(job);
			this.harness.ended(job, DispatchOutcome.DONE);
		}
	}

	static List<List<Integer>> timeouts() {
		return List.of(List.of(6000, 5100, 5900, 5500, 5300), List.of(6000, 2000, 6000, 2000),
				List.of(6000, 6000, 3000, 3000));
	}

	// A retry gets the rank of late requests. A request with the same key but another
	// deadline is a first attempt.
	@ParameterizedTest
	@CsvSource({ "4000,true", "6000,false" })
	void retryOfRefusedRequestIsRecognized(long remainingMillis, boolean known) {
		occupySlots(18);
		this.harness.arrive(DispatcherHarness.STREAM, TYPICAL, 6000, OptionalLong.of(7));
		this.harness.advance(160);
		assertThat(this.harness.effectNames(), Matchers.contains("Refuse:no-room"));
		this.harness.advance(1840);
		occupySlots(0);
		this.harness.arrive(DispatcherHarness.STREAM, TYPICAL, remainingMillis, OptionalLong.of(7));
		assertThat(sentRanks().getFirst() > DispatcherHarness.STREAM.priority(), Matchers.equalTo(known));
	}

	private List<Integer> sentRanks() {
		return this.harness.drain()
			.stream()
			.filter(DispatchEffect.Send.class::isInstance)
			.map((effect) -> ((DispatchEffect.Send) effect).rank())
			.toList();
	}

	// Guards against requests without an answer when their process ends, and against one
	// that is said not to have run although it may have.
	@Test
	void requestsEndWithTheirProcess() {
		this.harness.arrive(DispatcherHarness.STREAM, 1000, 6000);
		occupySlots(18);
		this.harness.arrive(DispatcherHarness.STREAM, 1000, 6000);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:e1"));
		this.harness.dispatcher.endAll(FinalResponses.NO_RUNNER, this.harness.nowNanos);
		assertThat(this.harness.effectNames(),
				Matchers.contains("Stop", "Fail:no-usable-runner", "Refuse:no-usable-runner"));
		assertThat(this.harness.dispatcher.inProgress(), Matchers.is(0));
	}

}
