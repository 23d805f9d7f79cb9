package org.wisteriapost.policy.coldstart;

import java.time.Duration;
import java.util.Map;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;

import static org.hamcrest.MatcherAssert.assertThat;

class RunnerColdnessTests {

	private static final ColdStart COLD_START = new ColdStart(Duration.ofSeconds(20), 26);

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	// Guards against a presumption that a registration from before it ends, and against
	// one
	// that outlasts the runner's own later statement.
	@ParameterizedTest
	@CsvSource({ "5, 0, true", "7, 0, false", "7, 9000, true" })
	void onlyLaterRegistrationEndsPresumption(long revision, long coldMillis, boolean cold) {
		RunnerColdness coldness = new RunnerColdness();
		coldness.presumeColdUntil(8 * SECOND, 6);
		coldness.registered(registration(revision, coldMillis), 0);
		assertThat(coldness.period(COLD_START, 7 * SECOND).isPresent(), Matchers.equalTo(cold));
	}

	// Guards against a registration that makes a runner cold again whenever it is listed,
	// and against a shorter statement that hides a longer one.
	@ParameterizedTest
	@CsvSource({ "1, 5000, 5", "2, 5000, 8", "1, 1000, 5" })
	void statementCountsFromWhenItWasFirstRead(long revision, long coldMillis, long untilSecond) {
		RunnerColdness coldness = new RunnerColdness();
		coldness.registered(registration(1, 5000), 0);
		coldness.registered(registration(revision, coldMillis), 3 * SECOND);
		assertThat(coldness.period(COLD_START, 4 * SECOND).orElseThrow().untilNanos(),
				Matchers.equalTo(untilSecond * SECOND));
		assertThat(coldness.period(COLD_START, untilSecond * SECOND).isPresent(), Matchers.equalTo(false));
	}

	private static RunnerInfo registration(long revision, long coldMillis) {
		return new RunnerInfo("runner", "api", "10.0.0.1:80", "hall-a", 8, false, coldMillis, Map.of(), revision,
				RunnerIncarnation.UNKNOWN);
	}

}
