package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.RunnerInfo;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fleets of entries under full demand at runners that have just started. A cold runner
 * crashes when it gets more than its bound in any one second.
 */
class ColdRunnerTests {

	private static final double FULL_DEMAND = 60;

	// Of the allowed rate. Windows that are longer than a second use five sixths of it,
	// the
	// margin for entries that disagree a tenth.
	private static final double MIN_USE = 0.6;

	private static final Duration RUN = Duration.ofSeconds(15);

	private static ColdFleet fleet(int entries, int runners) {
		ColdFleet fleet = new ColdFleet(entries, runners, true, entries);
		fleet.run(Duration.ofSeconds(9), 0);
		return fleet;
	}

	private static RunnerInfo restart(ColdFleet fleet, String id) {
		RunnerInfo later = fleet.info(id, fleet.now(), 0);
		fleet.register(later);
		return later;
	}

	// The runner states how long it is cold, for entries that start meanwhile.
	private static RunnerInfo restartStating(ColdFleet fleet, Duration remaining) {
		RunnerInfo later = fleet.info("runner-0", fleet.now(), remaining.toMillis());
		fleet.register(later);
		return later;
	}

	private static void assertBounded(ColdFleet fleet, RunnerInfo runner) {
		assertThat("requests in one second", fleet.maxPerSecond(runner),
				Matchers.lessThanOrEqualTo(ColdFleet.MAX_REQUESTS));
	}

	private static void assertUsed(ColdFleet fleet, RunnerInfo runner) {
		assertThat("requests in all", (double) fleet.total(runner),
				Matchers.greaterThan(MIN_USE * ColdFleet.MAX_REQUESTS * RUN.toSeconds()));
	}

	// Guards against entries that each keep the bound for themselves, and against a bound
	// that is wasted.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 13, 40, 75 })
	void coldRunnerGetsMostOfItsBoundAndNoMore(int entries) {
		ColdFleet fleet = fleet(entries, 1);
		RunnerInfo cold = restart(fleet, "runner-0");
		fleet.run(RUN, FULL_DEMAND);
		assertBounded(fleet, cold);
		assertUsed(fleet, cold);
	}

	// Guards against retries that do not count.
	@ParameterizedTest
	@ValueSource(ints = { 13, 40, 75 })
	void retriesCount(int entries) {
		ColdFleet fleet = fleet(entries, 2);
		fleet.turnedAwayShare = 0.5;
		List<RunnerInfo> cold = List.of(restart(fleet, "runner-0"), restart(fleet, "runner-1"));
		fleet.run(RUN, FULL_DEMAND);
		cold.forEach((runner) -> assertBounded(fleet, runner));
	}

	// Guards against warm runners that are limited as well.
	@ParameterizedTest
	@ValueSource(ints = { 13, 40 })
	void requestsGoToWarmRunnersMeanwhile(int entries) {
		ColdFleet fleet = fleet(entries, 3);
		RunnerInfo cold = restart(fleet, "runner-0");
		fleet.run(Duration.ofSeconds(8), 10);
		assertBounded(fleet, cold);
		assertThat(fleet.refusals.keySet(), Matchers.empty());
		fleet.run(ColdFleet.COLD_START.duration(), 10);
		assertThat("requests after it is warm", fleet.maxPerSecond(cold), Matchers.greaterThan(ColdFleet.MAX_REQUESTS));
	}

	// Guards against shares that need reports: no entry hears of any other. Those of the
	// beginning can't read the store either, and do not learn that the fleet doubles.
	@ParameterizedTest
	@ValueSource(ints = { 13, 40, 75 })
	void boundHoldsForEntriesThatHearNobody(int entries) {
		ColdFleet fleet = fleet(entries, 1);
		RunnerInfo cold = restartStating(fleet, Duration.ofMinutes(1));
		fleet.entries.values().forEach(ColdFleet.Entry::isolate);
		for (int i = 0; i < entries; i++) {
			fleet.addEntry("entry-" + (entries + i));
			fleet.run(Duration.ofMillis(50), FULL_DEMAND);
		}
		fleet.run(RUN, FULL_DEMAND);
		assertBounded(fleet, cold);
		assertThat("requests", fleet.total(cold), Matchers.greaterThan(100));
	}

	// Guards against entries that are cut off, lose their registration and go on with
	// permits that others have taken over.
	@ParameterizedTest
	@ValueSource(ints = { 13, 40, 75 })
	void boundHoldsWhileIsolatedEntriesLoseTheirRegistration(int entries) {
		ColdFleet fleet = fleet(entries, 1);
		List<ColdFleet.Entry> isolated = fleet.entries.values().stream().limit(entries / 2).toList();
		isolated.forEach(ColdFleet.Entry::isolate);
		fleet.run(Duration.ofSeconds(12), 0);
		isolated.forEach((entry) -> fleet.removeRegistration(entry.name));
		RunnerInfo cold = fleet.info("runner-0", 1, 100_000);
		fleet.entries.values().forEach((entry) -> entry.stated(cold, Duration.ofSeconds(100)));
		for (int i = 0; i < 4; i++) {
			fleet.run(RUN, FULL_DEMAND);
		}
		assertThat("requests in one second", fleet.maxPerSecond(fleet.runners.get("runner-0")),
				Matchers.lessThanOrEqualTo(ColdFleet.MAX_REQUESTS));
	}

	// Guards against a single entry that takes the whole bound, since it sees no other
	// demand.
	@ParameterizedTest
	@ValueSource(ints = { 13, 40, 75 })
	void demandAtOneEntryUsesItsPartOnly(int entries) {
		ColdFleet fleet = fleet(entries, 1);
		RunnerInfo cold = restart(fleet, "runner-0");
		fleet.run(RUN, List.of("entry-0"), 500);
		int home = (entries + 2) / 3;
		assertThat("requests in one second", fleet.maxPerSecond(cold), Matchers.allOf(Matchers.greaterThan(0),
				Matchers.lessThanOrEqualTo(Math.ceilDiv(ColdFleet.MAX_REQUESTS, home))));
	}

	// Guards against entries that come and go at different times in the view of each.
	@ParameterizedTest
	@ValueSource(ints = { 13, 40, 75 })
	void boundHoldsWhileEntriesAreAddedAndLost(int entries) {
		ColdFleet fleet = fleet(entries, 1);
		RunnerInfo cold = restartStating(fleet, Duration.ofMinutes(1));
		for (int i = 0; i < 30; i++) {
			fleet.addEntry("entry-" + (entries + i));
			fleet.run(Duration.ofMillis(300), FULL_DEMAND);
			fleet.removeEntry("entry-" + i);
			fleet.run(Duration.ofMillis(300), FULL_DEMAND);
		}
		assertBounded(fleet, cold);
		assertThat("requests", fleet.total(cold), Matchers.greaterThan(100));
	}

	// Guards against entries that begin with a full allowance after a restart.
	@ParameterizedTest
	@ValueSource(ints = { 13, 40, 75 })
	void boundHoldsWhileEntriesRestart(int entries) {
		ColdFleet fleet = fleet(entries, 1);
		RunnerInfo cold = restartStating(fleet, Duration.ofMinutes(1));
		for (int i = 0; i < 25; i++) {
			int count = Math.max(1, entries / 16);
			for (int k = 0; k < count; k++) {
				fleet.addEntry("entry-" + (i * count + k) % entries);
			}
			fleet.run(Duration.ofMillis(600), FULL_DEMAND);
		}
		assertBounded(fleet, cold);
		assertThat("requests", fleet.total(cold), Matchers.greaterThan(100));
	}

	// Guards against a service that is refused as a whole while it is cold, and against
	// requests that wait for permits which they can't get.
	@ParameterizedTest
	@ValueSource(ints = { 13, 40, 75 })
	void serviceThatReturnsColdRampsUpAndRefusesTheRestAtOnce(int entries) {
		ColdFleet fleet = fleet(entries, 6);
		List<RunnerInfo> cold = List.copyOf(fleet.runners.keySet()).stream().map((id) -> restart(fleet, id)).toList();
		fleet.run(RUN, FULL_DEMAND);
		for (RunnerInfo runner : cold) {
			assertBounded(fleet, runner);
			assertUsed(fleet, runner);
		}
		assertThat(fleet.refusals.keySet(), Matchers.contains("runner-limit"));
		long waited = fleet.refusedAges.stream().filter((age) -> age > 15 * ColdFleet.MILLI).count();
		assertThat("refused after a wait", waited, Matchers.lessThan((long) fleet.refusedAges.size() / 50));
	}

	// Guards against a new incarnation that is taken for the warm one before it, which
	// has
	// the same id.
	@Test
	void restartUnderTheSameIdIsCold() {
		ColdFleet fleet = fleet(13, 1);
		RunnerInfo warm = fleet.runners.get("runner-0");
		fleet.run(Duration.ofSeconds(5), FULL_DEMAND);
		assertThat("while warm", fleet.maxPerSecond(warm), Matchers.greaterThan(ColdFleet.MAX_REQUESTS));
		// Requests that are under way must not count for the new incarnation.
		fleet.run(Duration.ofSeconds(2), 0);
		RunnerInfo cold = restart(fleet, "runner-0");
		fleet.run(RUN, FULL_DEMAND);
		assertBounded(fleet, cold);
	}

	// Guards against a statement of a former incarnation that makes the next one cold
	// again, and against one of the current incarnation that is ignored.
	@Test
	void lateStatementOfFormerIncarnationIsIgnored() {
		ColdFleet fleet = fleet(13, 1);
		RunnerInfo former = fleet.runners.get("runner-0");
		RunnerInfo current = restart(fleet, "runner-0");
		fleet.run(ColdFleet.COLD_START.duration().plusSeconds(1), 0);
		fleet.entries.values().forEach((entry) -> entry.stated(former, Duration.ofSeconds(20)));
		fleet.run(Duration.ofSeconds(3), FULL_DEMAND);
		assertThat("once warm", fleet.maxPerSecond(current), Matchers.greaterThan(ColdFleet.MAX_REQUESTS));
		fleet.run(Duration.ofSeconds(2), 0);
		fleet.arrivals.clear();
		fleet.entries.values().forEach((entry) -> entry.stated(current, Duration.ofSeconds(20)));
		fleet.run(RUN, FULL_DEMAND);
		assertBounded(fleet, current);
	}

	// Guards against the one limit replacing the other.
	@ParameterizedTest
	@ValueSource(doubles = { 4, 1000 })
	void lowerOfNamedRateAndColdBoundHolds(double named) {
		ColdFleet fleet = fleet(13, 1);
		fleet.namedLimit = OptionalDouble.of(named);
		RunnerInfo cold = restart(fleet, "runner-0");
		fleet.run(Duration.ofSeconds(5), FULL_DEMAND);
		assertBounded(fleet, cold);
		fleet.arrivals.clear();
		fleet.run(RUN, FULL_DEMAND);
		assertBounded(fleet, cold);
		assertThat("requests", (double) fleet.total(cold), Matchers.lessThan(named * 1.5 * RUN.toSeconds()));
	}

	// Guards against full traffic to runners that became cold while their failure domain
	// was evacuated, before their registrations state it.
	@Test
	void runnersAreColdAfterTheEvacuationOfTheirDomain() {
		ColdFleet fleet = fleet(40, 1);
		RunnerInfo runner = fleet.runners.get("runner-0");
		fleet.entries.values().forEach((entry) -> entry.evacuated(runner.failureDomain(), true));
		fleet.run(Duration.ofSeconds(2), FULL_DEMAND);
		assertThat(fleet.total(runner), Matchers.equalTo(0));
		fleet.entries.values().forEach((entry) -> entry.evacuated(runner.failureDomain(), false));
		fleet.run(ColdFleet.COLD_START.duration().minusMillis(100), FULL_DEMAND);
		assertBounded(fleet, runner);
		assertThat(fleet.total(runner), Matchers.greaterThan(0));
	}

	// Guards against limits in deployments that declare no cold start.
	@Test
	void serviceWithoutColdStartIsNotLimited() {
		ColdFleet fleet = new ColdFleet(13, 1, false, 13);
		RunnerInfo restarted = restart(fleet, "runner-0");
		fleet.run(Duration.ofSeconds(3), FULL_DEMAND);
		assertThat(fleet.maxPerSecond(restarted), Matchers.greaterThan(10 * ColdFleet.MAX_REQUESTS));
		assertThat(fleet.refusals.keySet(), Matchers.empty());
	}

}
