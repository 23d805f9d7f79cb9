package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * ConcurrencyLimit, SlowStart and OutlierEjection: what one runner is trusted with.
 */
class RunnerHealthTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final long LATER = 7 * SECOND;

	private final RequestPolicySettings settings = RequestPolicySettings.defaults();

	private final RunnerPool pool = new RunnerPool();

	private final List<RunnerState> runners = new ArrayList<>();

	private final OutlierEjection outliers = new OutlierEjection(this.settings, RandomSource.SPLIT_MIX_64.create(3));

	private final SlowStart slowStart = new SlowStart(this.settings);

	RunnerHealthTests() {
		for (int each = 0; each < 10; each++) {
			RunnerState runner = new RunnerState(Fixture.view("runner-" + each, 8));
			this.runners.add(runner);
			this.pool.setEligible(runner, true);
		}
		this.pool.rate.sample(0.1);
	}

	@Test
	void fullGateSetsTheLimitToWhatItTook() {
		RunnerState runner = this.runners.getFirst();
		runner.inFlight = 3;
		ConcurrencyLimit.refused(runner, this.pool);
		assertThat(runner.limit, is(3.0));
	}

	@Test
	void limitNeverFallsBelowOneCall() {
		RunnerState runner = this.runners.getFirst();
		ConcurrencyLimit.refused(runner, this.pool);
		assertThat(runner.limit, is(1.0));
	}

	@Test
	void limitRisesOnlyWhileItBindsAndFasterWithMoreOrganisationsWaiting() {
		RunnerState runner = this.runners.getFirst();
		runner.limit = 4;
		runner.inFlight = 1;
		ConcurrencyLimit.ended(runner, this.pool, 10);
		assertThat(runner.limit, is(4.0));
		runner.inFlight = 3;
		ConcurrencyLimit.ended(runner, this.pool, 1);
		double slowly = runner.limit - 4;
		runner.limit = 4;
		ConcurrencyLimit.ended(runner, this.pool, 10);
		assertThat(runner.limit - 4, closeTo(10 * slowly, 0.0001));
	}

	@ParameterizedTest
	@CsvSource({ "8, 6, 5.4", "8, 8, 6.0", "4, 2, 6.0" })
	void fullRunnerThatOthersUseTooIsGivenWay(int running, int own, double limit) {
		RunnerState runner = this.runners.getFirst();
		runner.limit = 6;
		runner.inFlight = own;
		runner.inFlightAtReport = own;
		runner.view = Fixture.view(runner.name, true, "d1", running, 8);
		ConcurrencyLimit.reported(runner, 0);
		assertThat(runner.limit, closeTo(limit, 0.001));
	}

	@Test
	void farSlowerAnswerLowersTheLimitOnceInTheTimeOfAReport() {
		RunnerState runner = this.runners.getFirst();
		ConcurrencyLimit.answered(runner, 0.15, 0.1, 0);
		assertThat(runner.limit, is(8.0));
		ConcurrencyLimit.answered(runner, 0.25, 0.1, 0);
		ConcurrencyLimit.answered(runner, 0.25, 0.1, 1);
		assertThat(runner.limit, closeTo(6.4, 0.001));
	}

	@Test
	void runnerThatReturnsIsRampedUp() {
		RunnerState runner = this.runners.getFirst();
		this.slowStart.begin(runner, this.pool, 0);
		int first = this.slowStart.allowed(runner, 8, 0);
		int middle = this.slowStart.allowed(runner, 8, 5 * SECOND / 2);
		assertThat(first, is(1));
		assertThat(middle, allOf(greaterThan(first), lessThan(8)));
		assertThat(this.slowStart.allowed(runner, 8, 5 * SECOND), is(8));
		assertThat(this.slowStart.over(runner, 5 * SECOND), is(true));
	}

	@Test
	void noRampWhileHalfOfTheRunnersAreInIt() {
		this.runners.forEach((runner) -> this.slowStart.begin(runner, this.pool, 0));
		assertThat(this.pool.ramping(), is(4));
		assertThat(this.slowStart.allowed(this.runners.getLast(), 8, 0), is(8));
	}

	@ParameterizedTest
	@CsvSource({ "2, false", "3, true" })
	void threeErrorsInARowEject(int errors, boolean ejected) {
		RunnerState runner = this.runners.getFirst();
		fail(runner, errors);
		assertThat(runner.ejected, is(ejected));
	}

	@Test
	void errorsBetweenAnswersDoNotEject() {
		RunnerState runner = this.runners.getFirst();
		for (int each = 0; each < 5; each++) {
			fail(runner, 2);
			answer(runner, 0.1, 0);
		}
		assertThat(runner.ejected, is(false));
	}

	@ParameterizedTest
	@CsvSource({ "0.2, false", "0.9, true" })
	void farSlowerThanItsPeersIsEjected(double secondsPerCost, boolean ejected) {
		RunnerState runner = this.runners.getFirst();
		for (int each = 0; each < 3; each++) {
			answer(runner, secondsPerCost, 0);
		}
		assertThat(runner.ejected, is(ejected));
	}

	@Test
	void floorKeepsMostRunnersInWhenAllFail() {
		this.runners.forEach((runner) -> fail(runner, 10));
		assertThat(this.pool.ejected(), is(3));
	}

	@Test
	void goodProbeBringsARunnerBackAndABadOneDoublesTheWait() {
		RunnerState runner = this.runners.getFirst();
		fail(runner, 3);
		assertThat(this.outliers.probing(runner, SECOND), is(false));
		assertThat(this.outliers.probing(runner, LATER), is(true));
		this.outliers.failed(runner, this.pool, LATER);
		assertThat(this.outliers.probing(runner, LATER + 7 * SECOND), is(false));
		long back = LATER + 13 * SECOND;
		assertThat(this.outliers.probing(runner, back), is(true));
		assertThat(answer(runner, 0.1, back), is(true));
		assertThat(runner.ejected, is(false));
		assertThat(this.pool.ejected(), is(0));
	}

	@Test
	void answerFromBeforeTheEjectionIsNoProbe() {
		RunnerState runner = this.runners.getFirst();
		fail(runner, 3);
		assertThat(answer(runner, 0.1, SECOND), is(false));
		assertThat(runner.ejected, is(true));
	}

	private boolean answer(RunnerState runner, double secondsPerCost, long nanos) {
		return this.outliers.answered(runner, this.pool, secondsPerCost, nanos);
	}

	private void fail(RunnerState runner, int times) {
		for (int each = 0; each < times; each++) {
			this.outliers.failed(runner, this.pool, 0);
		}
	}

}
