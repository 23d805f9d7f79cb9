package org.wisteriapost.policy.ratelimit;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class RunnerRateLimitTests {

	private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();

	private final RunnerRateLimit limit = new RunnerRateLimit();

	private static RateStatement answer(double perSecond, long sentMillis, long readMillis) {
		OptionalDouble named = (perSecond > 0) ? OptionalDouble.of(perSecond) : NO_LIMIT;
		return RateStatement.answered(named, nanos(sentMillis), nanos(readMillis));
	}

	private static long nanos(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

	// The runner names 2 a second in the answer to a request sent at 1,000.
	@BeforeEach
	void nameLimit() {
		assertThat(this.limit.answered(answer(2, 1000, 1400)), Matchers.is(true));
	}

	// Guards against an answer from before a limit that lifts or raises it. Where the
	// order is not known the stricter statement holds.
	@ParameterizedTest
	@CsvSource({ "0, 200, 1500, 2", "0, 1200, 1600, 2", "0, 1399, 9000, 2", "0, 1400, 1800, 0", "4, 200, 1500, 2",
			"4, 1400, 1800, 4", "1, 200, 1500, 1", "1, 200, 1000, 2", "1, 1400, 1800, 1", "2, 1600, 1800, 2" })
	void onlyAnswerToALaterRequestLiftsALimit(double perSecond, long sentMillis, long readMillis, double expected) {
		this.limit.answered(answer(perSecond, sentMillis, readMillis));
		assertThat(this.limit.perSecond().orElse(0), Matchers.equalTo(expected));
	}

	// Guards against a report that has waited on a link and lifts a limit that was named
	// since, and against reports of entries that do not state when requests were sent.
	@ParameterizedTest
	@CsvSource({ "1400, true, 2", "2399, true, 2", "2400, true, 0", "9000, false, 2" })
	void reportLiftsALimitOnlyIfItCanNotBeFromBefore(long sentMillis, boolean dated, double expected) {
		OptionalLong earliest = dated ? OptionalLong.of(nanos(sentMillis)) : OptionalLong.empty();
		this.limit.reported(new RateStatement(NO_LIMIT, earliest, nanos(sentMillis + 400)));
		assertThat(this.limit.perSecond().orElse(0), Matchers.equalTo(expected));
	}

	// Guards against a limit that comes back by an answer from before its end.
	@ParameterizedTest
	@CsvSource({ "1000, 1700, 0", "1000, 1800, 0", "1700, 1900, 3" })
	void limitFromBeforeItsEndIsOutdated(long sentMillis, long readMillis, double expected) {
		this.limit.answered(answer(0, 1800, 2200));
		this.limit.answered(answer(3, sentMillis, readMillis));
		assertThat(this.limit.perSecond().orElse(0), Matchers.equalTo(expected));
	}

	// Guards against a limit that was named again and is lifted by an answer from before.
	@Test
	void limitThatIsNamedAgainIsDatedAnew() {
		this.limit.answered(answer(2, 3000, 3400));
		this.limit.answered(answer(0, 1400, 3500));
		assertThat(this.limit.perSecond(), Matchers.equalTo(OptionalDouble.of(2)));
	}

	@Test
	void tellsOthersWhatTheRunnerHasToldAndWhen() {
		assertThat(this.limit.lastTold(nanos(2000)).orElseThrow(), Matchers.equalTo(answer(2, 1000, 1400)));
		this.limit.reported(answer(2, 5000, 5400));
		assertThat(this.limit.lastTold(nanos(5500)).isPresent(), Matchers.is(false));
	}

}
