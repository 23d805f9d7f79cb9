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
 * Tests for {@link ConcurrencyLimit}, {@link SlowStart} and {@link OutlierEjection}.
 */
class RunnerHealthTests {

	private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	private static final long FIRST_PROBE_NANOS = 7 * SECOND_NANOS;

	private final RequestPolicySettings settings = RequestPolicySettings.defaults();

	private final RunnerPool pool = new RunnerPool();

	private final List<RunnerState> runners = new ArrayList<>();

	private final OutlierEjection outliers = new OutlierEjection(this.settings, RandomSource.SPLIT_MIX_64.create(3));

	private final SlowStart slowStart = new SlowStart(this.settings);

	RunnerHealthTests() {
		for (int i = 0; i < 10; i++) {
			RunnerState runner = new RunnerState(RequestStateMachineFixture.status("runner-" + i, 8));
			this.runners.add(runner);
			this.pool.setEligible(runner, true);
		}
		this.pool.serviceTime.addSample(0.1);
	}

	@Test
	void fullGateLowersTheLimitToCallsInFlight() {
		RunnerState runner = this.runners.getFirst();
		runner.inFlight = 3;
		ConcurrencyLimit.onGateFull(runner, this.pool);
		assertThat(runner.limit, is(3.0));
	}

	@Test
	void limitNeverFallsBelowOneCall() {
		RunnerState runner = this.runners.getFirst();
		ConcurrencyLimit.onGateFull(runner, this.pool);
		assertThat(runner.limit, is(1.0));
	}

	@Test
	void limitRisesOnlyWhileItBindsAndFasterWithMoreOrganisationsWaiting() {
		RunnerState runner = this.runners.getFirst();
		runner.limit = 4;
		runner.inFlight = 1;
		ConcurrencyLimit.onCompletion(runner, this.pool, 10);
		assertThat(runner.limit, is(4.0));
		runner.inFlight = 3;
		ConcurrencyLimit.onCompletion(runner, this.pool, 1);
		double slowly = runner.limit - 4;
		runner.limit = 4;
		ConcurrencyLimit.onCompletion(runner, this.pool, 10);
		assertThat(runner.limit - 4, closeTo(10 * slowly, 0.0001));
	}

	@ParameterizedTest
	@CsvSource({ "8, 6, 5.4", "8, 8, 6.0", "4, 2, 6.0" })
	void limitDecreasesOnlyOnAFullSharedRunner(int running, int own, double limit) {
		RunnerState runner = this.runners.getFirst();
		runner.limit = 6;
		runner.inFlight = own;
		runner.inFlightAtReport = own;
		runner.status = RequestStateMachineFixture.status(runner.name, true, "d1", running, 8);
		ConcurrencyLimit.onReport(runner, 0);
		assertThat(runner.limit, closeTo(limit, 0.001));
	}

	@Test
	void slowAnswersLowerTheLimitOncePerInterval() {
		RunnerState runner = this.runners.getFirst();
		ConcurrencyLimit.onLatency(runner, 0.15, 0.1, 0);
		assertThat(runner.limit, is(8.0));
		ConcurrencyLimit.onLatency(runner, 0.25, 0.1, 0);
		ConcurrencyLimit.onLatency(runner, 0.25, 0.1, 1);
		assertThat(runner.limit, closeTo(6.4, 0.001));
	}

	@Test
	void returningRunnerIsRampedUp() {
		RunnerState runner = this.runners.getFirst();
		this.slowStart.begin(runner, this.pool, 0);
		int first = this.slowStart.allowedCalls(runner, 8, 0);
		int middle = this.slowStart.allowedCalls(runner, 8, 5 * SECOND_NANOS / 2);
		assertThat(first, is(1));
		assertThat(middle, allOf(greaterThan(first), lessThan(8)));
		assertThat(this.slowStart.allowedCalls(runner, 8, 5 * SECOND_NANOS), is(8));
		assertThat(this.slowStart.isComplete(runner, 5 * SECOND_NANOS), is(true));
	}

	@Test
	void noRampWhileHalfOfTheRunnersAreRamping() {
		this.runners.forEach((runner) -> this.slowStart.begin(runner, this.pool, 0));
		assertThat(this.pool.ramping(), is(4));
		assertThat(this.slowStart.allowedCalls(this.runners.getLast(), 8, 0), is(8));
	}

	@ParameterizedTest
	@CsvSource({ "2, false", "3, true" })
	void threeConsecutiveErrorsEject(int errors, boolean ejected) {
		RunnerState runner = this.runners.getFirst();
		fail(runner, errors);
		assertThat(runner.ejected, is(ejected));
	}

	@Test
	void errorsBetweenAnswersDoNotEject() {
		RunnerState runner = this.runners.getFirst();
		for (int i = 0; i < 5; i++) {
			fail(runner, 2);
			answer(runner, 0.1, 0);
		}
		assertThat(runner.ejected, is(false));
	}

	@ParameterizedTest
	@CsvSource({ "0.2, false", "0.9, true" })
	void runnerMuchSlowerThanItsPeersIsEjected(double secondsPerCost, boolean ejected) {
		RunnerState runner = this.runners.getFirst();
		for (int i = 0; i < 3; i++) {
			answer(runner, secondsPerCost, 0);
		}
		assertThat(runner.ejected, is(ejected));
	}

	@Test
	void ejectedShareIsCappedWhenAllRunnersFail() {
		this.runners.forEach((runner) -> fail(runner, 10));
		assertThat(this.pool.ejected(), is(3));
	}

	@Test
	void successfulProbeReinstatesAndFailedProbeDoublesTheEjection() {
		RunnerState runner = this.runners.getFirst();
		fail(runner, 3);
		assertThat(this.outliers.mayProbe(runner, SECOND_NANOS), is(false));
		assertThat(this.outliers.mayProbe(runner, FIRST_PROBE_NANOS), is(true));
		this.outliers.recordFailure(runner, this.pool, FIRST_PROBE_NANOS);
		assertThat(this.outliers.mayProbe(runner, FIRST_PROBE_NANOS + 7 * SECOND_NANOS), is(false));
		long back = FIRST_PROBE_NANOS + 13 * SECOND_NANOS;
		assertThat(this.outliers.mayProbe(runner, back), is(true));
		assertThat(answer(runner, 0.1, back), is(true));
		assertThat(runner.ejected, is(false));
		assertThat(this.pool.ejected(), is(0));
	}

	@Test
	void answerToACallBeforeTheEjectionIsNoProbe() {
		RunnerState runner = this.runners.getFirst();
		fail(runner, 3);
		assertThat(answer(runner, 0.1, SECOND_NANOS), is(false));
		assertThat(runner.ejected, is(true));
	}

	private boolean answer(RunnerState runner, double secondsPerCost, long nanos) {
		return this.outliers.recordAnswer(runner, this.pool, secondsPerCost, nanos);
	}

	private void fail(RunnerState runner, int times) {
		for (int i = 0; i < times; i++) {
			this.outliers.recordFailure(runner, this.pool, 0);
		}
	}

}
