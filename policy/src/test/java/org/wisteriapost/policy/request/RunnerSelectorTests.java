package org.wisteriapost.policy.request;

import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class RunnerSelectorTests {

	private static final int DRAWS = 1000;

	private final RunnerPool pool = new RunnerPool();

	private final RequestPolicySettings defaults = RequestPolicySettings.defaults();

	@ParameterizedTest
	@CsvSource({ "true, d1, 4, here, true", "true, d2, 4, here, false", "false, d1, 4, here, false",
			"true, d1, 0, here, false", "true, d1, 4, leaving, false", "true, '', 4, here, false" })
	void onlyAdmittingRunnersWithAcceptedWeightsAreEligible(boolean admitting, String digest, int capacity, String name,
			boolean eligible) {
		RunnerStatus view = RequestStateMachineFixture.status(name, admitting, digest, 0, capacity);
		assertThat(RunnerSelector.eligible(view, Set.of("d1"), Set.of("leaving")), is(eligible));
	}

	@Test
	void busierRunnerGetsFewerRequests() {
		RunnerState idle = add("idle", "a", 0);
		RunnerState busy = add("busy", "a", 6);
		add("other", "a", 6);
		assertThat(share(idle, 0), greaterThan(0.5));
		assertThat(share(busy, 0), lessThan(0.3));
	}

	@Test
	void slowerRunnerGetsFewerRequestsAtTheSameLoad() {
		RunnerState slow = add("slow", "a", 2);
		add("well", "a", 2);
		this.pool.serviceTime.addSample(0.1);
		slow.secondsPerCost = 0.25;
		assertThat(share(slow, 0), lessThan(0.3));
	}

	@Test
	void cachedPrefixIsPreferredWhileItsRunnerIsNotMuchBusier() {
		RunnerState cached = add("cached", "a", 1);
		add("other", "a", 0);
		this.pool.recordPrefix(99, cached);
		assertThat(share(cached, 99), is(1.0));
		assertThat(share(cached, 98), lessThan(0.5));
	}

	@Test
	void cachedPrefixDoesNotOverfillItsRunner() {
		RunnerState cached = add("cached", "a", 7);
		add("other", "a", 0);
		this.pool.recordPrefix(99, cached);
		assertThat(share(cached, 99), lessThan(0.3));
	}

	@Test
	void sameFailureDomainIsPreferredAtTheSameLoadOnly() {
		RunnerState near = add("near", "here", 0);
		add("far", "there", 0);
		assertThat(share(near, 0), greaterThan(0.7));
		near.inFlight = 4;
		assertThat(share(near, 0), lessThan(0.3));
	}

	@Test
	void retryGoesElsewhereFirst() {
		add("first", "a", 0);
		RunnerState second = add("second", "a", 7);
		PendingRequest pending = new PendingRequest(new Request(1, "o", "s", Priority.NORMAL, 0, true, 0, 1));
		pending.lastRunner = "first";
		pending.dispatches = 1;
		RunnerSelector placement = new RunnerSelector(this.defaults, RandomSource.SPLIT_MIX_64.create(1));
		int elsewhere = 0;
		for (int i = 0; i < DRAWS; i++) {
			elsewhere += (placement.select(this.pool, pending).orElseThrow() == second) ? 1 : 0;
		}
		assertThat(elsewhere, is(DRAWS));
	}

	private RunnerState add(String name, String failureDomain, int inFlight) {
		RunnerState runner = new RunnerState(
				new RunnerStatus(name, failureDomain, "s", true, "d1", 1, 0, 0, 8, Set.of()));
		runner.inFlight = inFlight;
		this.pool.setEligible(runner, true);
		this.pool.setFree(runner, true);
		return runner;
	}

	private double share(RunnerState runner, long prefix) {
		RequestPolicySettings here = new RequestPolicySettings("here", this.defaults.weights(), 1, 1, 1, 8, 1, 0.1,
				this.defaults.slowStartDuration(), this.defaults.baseEjectionTime(), 0.3);
		RunnerSelector placement = new RunnerSelector(here, RandomSource.SPLIT_MIX_64.create(1));
		PendingRequest pending = new PendingRequest(new Request(1, "o", "s", Priority.NORMAL, 0, true, prefix, 1));
		int chosen = 0;
		for (int i = 0; i < DRAWS; i++) {
			chosen += (placement.select(this.pool, pending).orElseThrow() == runner) ? 1 : 0;
		}
		return (double) chosen / DRAWS;
	}

}
