package org.wisteriapost.standin.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.request.Priority;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Outcomes and latencies under load, simulated from a fixed seed: six entries that do not
 * exchange state, ten runners of eight slots, runner reports up to a second old.
 */
class LoadSimTests {

	private static final long SEED = 11;

	private static final Duration DURATION = Duration.ofSeconds(30);

	private static final int FAULTY_RUNNER = 3;

	@Test
	void burstIsAnsweredInTimeOrRefused() {
		LoadResult result = run(profile("burst"));
		assertThat(result.goodput(), greaterThan(0.9));
		assertThat(result.all().failed(), lessThan(5L));
		assertThat(result.refusalLatencies().getPercentileAtOrBelowValue(5000), greaterThan(85.0));
	}

	@ParameterizedTest
	@ValueSource(strings = { "skew", "skew-one-entry" })
	void overloadOfOneOrganisationDoesNotAffectOthers(String name) {
		LoadResult result = run(profile(name));
		for (int each = 1; each < 10; each++) {
			LoadResult.Group other = result.group("org-" + each, Priority.NORMAL);
			assertThat(other.inTimeShare(), is(1.0));
			assertThat(other.latencyMillis(99), lessThan(500.0));
		}
		assertThat(result.group("org-0", Priority.NORMAL).inTimeShare(), greaterThan(0.2));
	}

	@Test
	void overloadAffectsOtherOrganisationsWithoutAdmissionControl() {
		LoadResult result = LoadSim.run(profile("skew"), RoundRobinPolicy::create, SEED);
		assertThat(result.group("org-5", Priority.NORMAL).inTimeShare(), lessThan(0.3));
	}

	@Test
	void slowEndpointDoesNotRaiseP99() {
		LoadProfile slow = profile("slow-endpoint");
		LoadResult healthy = run(slow.withFaults(List.of()));
		LoadResult result = run(slow);
		assertThat(result.all().latencyMillis(99), closeTo(healthy.all().latencyMillis(99), 25));
		assertThat(result.all().inTimeShare(), greaterThan(0.999));
	}

	@Test
	void shortRequestsAreNotDelayedByLongRequests() {
		LoadResult result = run(profile("mixed"));
		for (int each = 2; each < 10; each++) {
			LoadResult.Group group = result.group("org-" + each, Priority.NORMAL);
			assertThat(group.latencyMillis(99), lessThan(1000.0));
			assertThat(group.inTimeShare(), greaterThan(0.999));
		}
		assertThat(result.group("org-0", Priority.NORMAL).inTimeShare(), greaterThan(0.95));
	}

	@Test
	void saturationKeepsGoodputAndPrefersUrgentRequests() {
		LoadResult result = run(profile("saturation"));
		assertThat(result.goodput(), greaterThan(0.95));
		for (int each = 0; each < 10; each++) {
			String organisation = "org-" + each;
			assertThat(result.group(organisation, Priority.URGENT).inTimeShare(), greaterThan(0.999));
			assertThat(result.group(organisation, Priority.NORMAL).inTimeShare(), greaterThan(0.35));
			assertThat(result.group(organisation, Priority.BULK).inTimeShare(), lessThan(0.1));
		}
	}

	@Test
	void saturationRunsAlmostNoRequestsThatMissTheirDeadline() {
		LoadResult result = run(profile("saturation"));
		assertThat(result.all().failed(), lessThan(result.all().requests() / 1000));
	}

	/**
	 * One of ten runners fails and recovers. Requests that it had not started are retried
	 * elsewhere; a non-idempotent request that it had started ends with an unknown
	 * outcome and never runs a second time.
	 */
	@ParameterizedTest
	@EnumSource(value = LoadProfile.Fault.Kind.class, names = { "UNREACHABLE", "FAILING" })
	void faultyRunnerFailsFewRequests(LoadProfile.Fault.Kind kind) {
		List<RequestStream> streams = new ArrayList<>(LoadProfile.evenLoad(0.3));
		LoadProfile.evenLoad(0.3)
			.forEach((stream) -> streams.add(stream.withPriority(Priority.URGENT).nonIdempotent()));
		LoadResult result = run(LoadProfile.of("broken", streams)
			.withFaults(List.of(new LoadProfile.Fault(Duration.ofSeconds(5), FAULTY_RUNNER, kind),
					new LoadProfile.Fault(Duration.ofSeconds(15), FAULTY_RUNNER, LoadProfile.Fault.Kind.HEALTHY))));
		assertThat(result.all().inTimeShare(), greaterThan(0.995));
		assertThat(result.all().refused(), is(0L));
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 6 })
	void goodputAtTwiceTheCapacityHoldsForAnyNumberOfEntries(int entries) {
		assertThat(run(LoadProfile.of("twice", LoadProfile.evenLoad(2)).withEntries(entries)).goodput(),
				greaterThan(0.95));
	}

	@Test
	void sameSeedGivesIdenticalRuns() {
		LoadProfile profile = profile("mixed").withDuration(Duration.ofSeconds(5));
		assertThat(figures(run(profile)), is(figures(run(profile))));
	}

	private static Map<String, Object> figures(LoadResult result) {
		return Map.of("goodput", result.goodput(), "p99", result.all().latencyMillis(99), "asked",
				result.all().requests(), "refused", result.all().refused(), "gate", result.gateRefusals());
	}

	private static LoadProfile profile(String name) {
		return LoadProfile.named(name).orElseThrow().withDuration(DURATION);
	}

	private static LoadResult run(LoadProfile profile) {
		LoadResult result = LoadSim.run(profile, StateMachinePolicy::create, SEED);
		assertThat(result.violations(), is(Map.of()));
		return result;
	}

}
