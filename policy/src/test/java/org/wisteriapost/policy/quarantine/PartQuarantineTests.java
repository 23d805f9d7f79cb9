package org.wisteriapost.policy.quarantine;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
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

class PartQuarantineTests {

	private static final long BAD = 1;

	private static final long SHARED = 2;

	private final RequestQuarantine quarantine = new RequestQuarantine();

	private long now = Duration.ofHours(2).toNanos();

	private int runners;

	private static PromptParts parts(long... ids) {
		return new PromptParts(Arrays.stream(ids).boxed().collect(Collectors.toSet()));
	}

	private void advance(long millis) {
		this.now += Duration.ofMillis(millis).toNanos();
		this.quarantine.tick(this.now);
	}

	private void crash(long... ids) {
		crashAtOnce(1, ids);
	}

	private void crashAtOnce(int count, long... ids) {
		for (int i = 0; i < count; i++) {
			this.quarantine.runnerLost(parts(ids), runner(), this.now);
		}
		advance(30);
		this.quarantine.runnersToCheck(this.now)
			.forEach((checked) -> this.quarantine.runnerChecked(checked, false, this.now));
	}

	private void crashes(int count, long gapMillis, long... ids) {
		for (int i = 0; i < count; i++) {
			crash(ids);
			advance(gapMillis);
		}
		advance(1000);
	}

	private void crash(String named) {
		RunnerInfo runner = runner();
		this.quarantine.runnerLost(PromptParts.of(Optional.of(named)), runner, this.now);
		advance(30);
		this.quarantine.runnersToCheck(this.now)
			.forEach((checked) -> this.quarantine.runnerChecked(checked, false, this.now));
		advance(300);
	}

	private RunnerInfo runner() {
		return new RunnerInfo("runner-" + ++this.runners, "api", "10.0.0.1:80", "hall-a", 8, false, 0, Map.of(), 0,
				RunnerIncarnation.UNKNOWN);
	}

	private static String names(String start, int count) {
		return IntStream.range(0, count)
			.mapToObj((i) -> start + String.format("%04x", i) + ":10,")
			.collect(Collectors.joining());
	}

	private boolean refused(String named) {
		return this.quarantine.remainingNanos(99, PromptParts.of(Optional.of(named)), this.now).isPresent();
	}

	private boolean refused(long... ids) {
		return this.quarantine.remainingNanos(99, parts(ids), this.now).isPresent();
	}

	@ParameterizedTest
	@CsvSource({ "'', ''", "a1:10, ''", "'a1:10,b2:20', a1", "'A1:10,00b2:20,a1:10,c3:5', 'a1,b2'",
			"'ffffffffffffffff:1,c3:5', ffffffffffffffff" })
	void lastPartAndRepeatedPartsAreNotSuspected(String named, String suspects) {
		Set<String> names = PromptParts.of(Optional.of(named).filter((text) -> !text.isEmpty()))
			.suspects()
			.stream()
			.map(PromptParts::name)
			.collect(Collectors.toSet());
		assertThat(names, Matchers.equalTo(suspects.isEmpty() ? Set.of() : Set.of(suspects.split(","))));
	}

	@Test
	void partThatIsLostAgainAndAgainIsRefused() {
		crashes(2, 300, BAD, SHARED);
		assertThat(refused(BAD, SHARED), Matchers.is(false));
		crashes(1, 300, BAD, SHARED);
		assertThat(refused(BAD, SHARED, 7), Matchers.is(true));
	}

	// Guards against refusing a part since many runners lost power at once, or twice.
	@Test
	void simultaneousCrashesCountAsOneMoment() {
		crashAtOnce(20, BAD);
		advance(5000);
		crashAtOnce(10, BAD);
		advance(1000);
		assertThat(refused(BAD), Matchers.is(false));
	}

	// Guards against refusing a sound part that was in all requests which crashed
	// runners.
	@Test
	void partsThatCannotBeToldApartAreRefusedTogetherOnly() {
		crashes(3, 300, BAD, SHARED);
		assertThat(refused(SHARED), Matchers.is(false));
		assertThat(refused(BAD), Matchers.is(false));
		this.quarantine.partsAnswered(parts(SHARED), this.now, this.now);
		advance(20);
		assertThat(refused(BAD), Matchers.is(true));
		assertThat(refused(SHARED), Matchers.is(false));
	}

	// Guards against answers that end, or are read, after a crash although they began
	// before.
	@Test
	void answerClearsLossesBeforeItBeganOnly() {
		long begun = this.now;
		crashes(4, 1100, BAD);
		assertThat(refused(BAD), Matchers.is(true));
		this.quarantine.partsAnswered(parts(BAD), begun - 1, this.now);
		advance(20);
		assertThat(refused(BAD), Matchers.is(true));
		this.quarantine.partsAnswered(parts(BAD), this.now, this.now);
		advance(20);
		assertThat(refused(BAD), Matchers.is(false));
	}

	// Guards against refusing a part of many requests, which some of any runner's
	// requests have, before an answer on it can go on.
	@Test
	void partThatWasGoodLatelyNeedsLossesOverALongerTime() {
		this.quarantine.partsAnswered(parts(SHARED), this.now, this.now);
		advance(10);
		crashes(5, 300, SHARED);
		assertThat(refused(SHARED), Matchers.is(false));
		crashes(2, 1100, SHARED);
		assertThat(refused(SHARED), Matchers.is(true));
	}

	@Test
	void crashesUnderABadPartDoNotCountForOthers() {
		crashes(2, 300, BAD, SHARED);
		crashes(2, 300, BAD);
		crashes(2, 300, SHARED);
		assertThat(refused(BAD), Matchers.is(true));
		assertThat(refused(SHARED), Matchers.is(false));
	}

	// Guards against an entry that has restarted and takes a part for bad which others
	// know to be sound.
	@Test
	void otherEntriesObject() {
		RequestQuarantine other = new RequestQuarantine();
		crashes(3, 300, SHARED);
		other.partsAnswered(parts(SHARED), this.now, this.now);
		exchange(this.quarantine, other);
		exchange(other, this.quarantine);
		advance(20);
		assertThat(refused(SHARED), Matchers.is(false));
		assertThat(other.remainingNanos(99, parts(SHARED), this.now), Matchers.equalTo(OptionalLong.empty()));
	}

	// Guards against taking the parts that all requests share for what crashes runners,
	// when
	// the part that does comes after many others.
	@ParameterizedTest
	@CsvSource({ "63, 0", "69, 0", "5, 68", "500, 0", "5, 900", "1200, 0" })
	void badPartBehindManyOthersIsRefusedAlone(int shared, int own) {
		for (int i = 0; i < 3; i++) {
			crash(names("a", shared) + names("b" + i, own) + "bad:10,c" + i + ":10");
		}
		advance(1000);
		assertThat(refused(names("a", shared) + "d1:10"), Matchers.is(false));
		assertThat(refused(names("a", shared) + names("b9", own) + "bad:10,d2:10"), Matchers.is(true));
	}

	// Guards against a request with so many parts that those of all others are forgotten,
	// and
	// against names without any part.
	@ParameterizedTest
	@ValueSource(strings = { ",", ",,,", ":", " " })
	void namesWithoutPartsAreNotSuspected(String named) {
		assertThat(PromptParts.of(Optional.of(named)), Matchers.equalTo(PromptParts.NONE));
	}

	@Test
	void requestWithTooManyPartsIsNotSuspectedByParts() {
		assertThat(PromptParts.of(Optional.of(names("a", 4000))), Matchers.equalTo(PromptParts.NONE));
	}

	// Guards against memory and reports that grow with the number of parts.
	@Test
	void badPartOutlivesManyOthers() {
		crashes(3, 300, BAD);
		LongStream.range(10, 4000).forEach((part) -> crash(part, part + 10_000));
		assertThat(refused(BAD), Matchers.is(true));
		assertThat(this.quarantine.updatesSince(0, "peer", Integer.MAX_VALUE).parts().size(), Matchers.lessThan(2049));
	}

	private void exchange(RequestQuarantine from, RequestQuarantine to) {
		List.copyOf(from.updatesSince(0, "to", Integer.MAX_VALUE).parts())
			.forEach((part) -> to.merge(part, "from", this.now));
	}

}
