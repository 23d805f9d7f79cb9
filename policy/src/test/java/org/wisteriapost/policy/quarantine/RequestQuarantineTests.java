package org.wisteriapost.policy.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;

import static org.hamcrest.MatcherAssert.assertThat;

class RequestQuarantineTests {

	private static final long POISON = 1;

	private static final long BESIDE = 2;

	private final RequestQuarantine quarantine = new RequestQuarantine();

	private long now = Duration.ofHours(2).toNanos();

	private static RunnerInfo runner(String id) {
		return new RunnerInfo(id, "api", "10.0.0.1:80", "hall-a", 8, false, 0, Map.of(), 0, RunnerIncarnation.UNKNOWN);
	}

	private void advance(Duration time) {
		this.now += time.toNanos();
		this.quarantine.tick(this.now);
	}

	private void crash(String runner, long... requests) {
		LongStream.of(requests).forEach((request) -> this.quarantine.runnerLost(request, runner(runner), this.now));
		advance(Duration.ofMillis(30));
		this.quarantine.runnersToCheck(this.now)
			.forEach((checked) -> this.quarantine.runnerChecked(checked, false, this.now));
	}

	private boolean quarantined(long request) {
		return this.quarantine.remainingNanos(request, this.now).isPresent();
	}

	@Test
	void requestIsQuarantinedAfterThreeCrashes() {
		crash("a", POISON);
		crash("b", POISON);
		assertThat(quarantined(POISON), Matchers.is(false));
		crash("c", POISON);
		assertThat(quarantined(POISON), Matchers.is(true));
	}

	@Test
	void lossesOfOneRunnerCountOnce() {
		crash("a", POISON);
		crash("a", POISON);
		crash("a", POISON);
		assertThat(quarantined(POISON), Matchers.is(false));
	}

	// Guards against refusing a request whose retries met a poison request twice and that
	// lost a further runner for another reason.
	@Test
	void crashesUnderAPoisonRequestDoNotCountForThoseBesideIt() {
		crash("a", POISON, BESIDE);
		crash("b", POISON, BESIDE);
		crash("c", POISON);
		crash("d", BESIDE);
		assertThat(quarantined(POISON), Matchers.is(true));
		assertThat(quarantined(BESIDE), Matchers.is(false));
	}

	@Test
	void requestsThatCannotBeToldApartAreBothQuarantined() {
		List.of("a", "b", "c").forEach((runner) -> crash(runner, POISON, BESIDE));
		assertThat(quarantined(POISON), Matchers.is(true));
		assertThat(quarantined(BESIDE), Matchers.is(true));
	}

	// Guards against refusing a sound request that was beside a part which crashes
	// runners,
	// before enough is known of the part.
	@Test
	void requestBesideABadPartIsNotQuarantinedBeforeThePartIs() {
		PromptParts bad = new PromptParts(Set.of(77L));
		for (String id : List.of("a", "b", "c", "d")) {
			this.quarantine.runnerLost(bad, runner(id), this.now);
			crash(id, id.equals("d") ? POISON : BESIDE);
			assertThat(quarantined(BESIDE), Matchers.is(false));
			advance(Duration.ofMillis(100));
		}
		advance(Duration.ofSeconds(1));
		assertThat(quarantined(BESIDE), Matchers.is(false));
	}

	// Guards against a poison request that names parts and is not refused, or reaches
	// runners while that is decided.
	@Test
	void poisonRequestWithPartsIsQuarantinedAMomentLater() {
		PromptParts parts = new PromptParts(Set.of(77L));
		for (String id : List.of("a", "b", "c")) {
			this.quarantine.runnerLost(parts, runner(id), this.now);
			crash(id, POISON);
		}
		advance(Duration.ofMillis(20));
		assertThat(quarantined(POISON), Matchers.is(false));
		assertThat(this.quarantine.undecided(POISON), Matchers.is(true));
		advance(Duration.ofMillis(500));
		assertThat(quarantined(POISON), Matchers.is(true));
	}

	@Test
	void completedRequestIsNotSuspected() {
		crash("a", POISON);
		crash("b", POISON);
		this.quarantine.requestCompleted(POISON, this.now);
		crash("c", POISON);
		crash("d", POISON);
		crash("e", POISON);
		assertThat(quarantined(POISON), Matchers.is(false));
	}

	// Guards against a request that ran well on the former version of the runners and
	// crashes each of the present one, unnoticed since it was completed a moment ago.
	@Test
	void lossesAfterACompletedRunCount() {
		this.quarantine.requestCompleted(POISON, this.now);
		for (String runner : List.of("a", "b", "c")) {
			assertThat(quarantined(POISON), Matchers.is(false));
			advance(Duration.ofMillis(1100));
			crash(runner, POISON);
		}
		assertThat(quarantined(POISON), Matchers.is(true));
	}

	// Guards against a run that began before the crashes and clears the request of these.
	@Test
	void completionOfARunThatBeganBeforeLossesDoesNotClearThem() {
		long begun = this.now;
		for (String runner : List.of("a", "b", "c")) {
			advance(Duration.ofMillis(1100));
			crash(runner, POISON);
		}
		this.quarantine.requestCompleted(POISON, begun);
		assertThat(quarantined(POISON), Matchers.is(true));
		this.quarantine.requestCompleted(POISON, this.now);
		advance(Duration.ofMillis(20));
		assertThat(quarantined(POISON), Matchers.is(false));
	}

	// Guards against reports between entries that never end: relayed times of a completed
	// run are later at each entry.
	@Test
	void relayedCompletionIsNotToldOnAgain() {
		RequestQuarantine other = new RequestQuarantine();
		crash("a", POISON);
		this.quarantine.requestCompleted(POISON, this.now);
		relayLater(this.quarantine, other);
		long told = this.quarantine.lastChange();
		relayLater(other, this.quarantine);
		assertThat(this.quarantine.lastChange(), Matchers.equalTo(told));
	}

	private void relayLater(RequestQuarantine from, RequestQuarantine to) {
		long transit = Duration.ofMillis(5).toNanos();
		from.updatesSince(0, "to", Integer.MAX_VALUE)
			.updates()
			.forEach((update) -> update.completedNanos()
				.ifPresent((completed) -> to.mergeCompletion(update.suspect().contentHash(), completed + transit,
						"from", this.now)));
	}

	// Guards against refusing a request that many callers send since many runners lost
	// power at once, or twice, also at entries that have not completed it.
	@Test
	void outageIsOneLossOfARequestThatWasCompletedBefore() {
		RequestQuarantine other = new RequestQuarantine();
		this.quarantine.requestCompleted(POISON, this.now);
		for (int outage = 0; outage < 2; outage++) {
			advance(Duration.ofSeconds(5));
			for (int i = 0; i < 12; i++) {
				this.quarantine.runnerLost(POISON, runner("r" + outage + "-" + i), this.now);
			}
			advance(UnconfirmedLosses.MAX_WAIT);
			exchange(this.quarantine, other);
		}
		assertThat(quarantined(POISON), Matchers.is(false));
		assertThat(other.remainingNanos(POISON, this.now), Matchers.equalTo(OptionalLong.empty()));
	}

	// Guards against taking a runner that resets connections for one that crashed.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void runnerThatAcceptsConnectionsOrAnswersHasNotCrashed(boolean answers) {
		List.of("a", "b", "c").forEach((id) -> {
			this.quarantine.runnerLost(POISON, runner(id), this.now);
			advance(Duration.ofMillis(150));
			if (answers) {
				this.quarantine.runnerAnswered(runner(id), this.now);
			}
			else {
				this.quarantine.runnerChecked(runner(id), true, this.now);
			}
			advance(Duration.ofSeconds(1));
		});
		assertThat(quarantined(POISON), Matchers.is(false));
	}

	@Test
	void requestWaitsWhileTheDecidingLossIsChecked() {
		crash("a", POISON);
		crash("b", POISON);
		this.quarantine.runnerLost(POISON, runner("c"), this.now);
		assertThat(this.quarantine.undecided(POISON), Matchers.is(true));
		assertThat(quarantined(POISON), Matchers.is(false));
		advance(UnconfirmedLosses.MAX_WAIT);
		assertThat(this.quarantine.undecided(POISON), Matchers.is(false));
		assertThat(quarantined(POISON), Matchers.is(true));
	}

	// A further crash after the end of a quarantine renews it, for longer.
	@ParameterizedTest
	@CsvSource({ "3, 5", "4, 10", "5, 20", "6, 40", "7, 40" })
	void quarantineLastsLongerWithEachCrash(int crashes, long minutes) {
		IntStream.range(0, crashes).forEach((i) -> crash("runner-" + i, POISON));
		advance(Duration.ofMinutes(minutes).minusSeconds(1));
		assertThat(quarantined(POISON), Matchers.is(true));
		advance(Duration.ofSeconds(1));
		assertThat(quarantined(POISON), Matchers.is(false));
		crash("further", POISON);
		assertThat(quarantined(POISON), Matchers.is(true));
	}

	@Test
	void entriesThatExchangeTheirLossesAgree() {
		RequestQuarantine other = new RequestQuarantine();
		crash("a", POISON, BESIDE);
		crash("b", POISON);
		other.merge(new SuspectRequest(POISON, List.of(new SuspectRequest.Loss(99, this.now))), "third", this.now);
		exchange(this.quarantine, other);
		exchange(other, this.quarantine);
		exchange(other, this.quarantine);
		assertThat(quarantined(POISON), Matchers.is(true));
		assertThat(other.remainingNanos(POISON, this.now), Matchers.not(OptionalLong.empty()));
		assertThat(other.remainingNanos(BESIDE, this.now), Matchers.equalTo(OptionalLong.empty()));
	}

	// Guards against suspecting a request that many callers send, at an entry that has
	// not
	// completed it itself.
	@Test
	void completionAtAnotherEntryClearsARequest() {
		RequestQuarantine other = new RequestQuarantine();
		List.of("a", "b", "c").forEach((runner) -> crash(runner, POISON));
		other.requestCompleted(POISON, this.now);
		exchange(this.quarantine, other);
		exchange(other, this.quarantine);
		assertThat(quarantined(POISON), Matchers.is(false));
	}

	// Guards against a memory that grows with each crash of a fleet.
	@Test
	void quarantineOutlivesManyOtherSuspects() {
		List.of("a", "b", "c").forEach((runner) -> crash(runner, POISON));
		LongStream.range(10, 5000).forEach((request) -> crash("runner-" + request, request));
		assertThat(quarantined(POISON), Matchers.is(true));
		assertThat(this.quarantine.updatesSince(0, "peer", Integer.MAX_VALUE).updates().size(),
				Matchers.lessThan(1025));
	}

	private void exchange(RequestQuarantine from, RequestQuarantine to) {
		from.updatesSince(0, "to", Integer.MAX_VALUE).updates().forEach((update) -> {
			if (update.completedNanos().isPresent()) {
				to.mergeCompletion(update.suspect().contentHash(), update.completedNanos().getAsLong(), "from",
						this.now);
			}
			if (!update.suspect().losses().isEmpty()) {
				to.merge(update.suspect(), "from", this.now);
			}
		});
	}

	@Test
	void changesAreReportedOnce() {
		List.of("a", "b", "c").forEach((runner) -> crash(runner, POISON));
		assertThat(this.quarantine.drainChanges(),
				Matchers.contains(new QuarantineChange.Suspected(POISON, 1), new QuarantineChange.Suspected(POISON, 2),
						new QuarantineChange.Suspected(POISON, 3),
						new QuarantineChange.Quarantined(POISON, 3, 299_970, Optional.empty())));
		assertThat(this.quarantine.drainChanges(), Matchers.empty());
	}

}
