package org.wisteriapost.standin.sim;

import java.util.Collections;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.standin.sim.dispatch.DispatchProfile;
import org.wisteriapost.standin.sim.dispatch.DispatchResult;
import org.wisteriapost.standin.sim.dispatch.DispatchSim;
import org.wisteriapost.standin.sim.dispatch.EngineProfile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * What callers of twelve entries get from fifteen engines, simulated from fixed seeds.
 */
class DispatchSimTests {

	private static final List<Long> SEEDS = List.of(1L, 2L, 3L);

	// At 0.95 of the capacity, four fifths of the worth is the target.
	private static final double FULL_LOAD_EARNED = 0.8;

	// Half of the smaller gain that five seeds showed.
	private static final double SPELLS_GAIN = 0.017;

	// One request in ten.
	private static final double SHORTAGE_LATE = 0.1;

	@ParameterizedTest
	@ValueSource(strings = { "long-passes", "short-passes" })
	void calmLoadIsServed(String engines) {
		for (long seed : SEEDS) {
			DispatchResult result = DispatchSim.run(profile(engines, "calm"), seed);
			assertThat(result.earnedShare(), greaterThan(0.9));
			assertThat(result.refusedShare(), lessThan(0.01));
			assertThat(result.failedShare(), lessThan(0.01));
		}
	}

	// With load reports that are 0.1 to 0.4 s old, requests are refused while slots are
	// free.
	@ParameterizedTest
	@CsvSource({ "long-passes,full", "short-passes,full" })
	void engineSlotsAreUsedAtFullLoad(String engines, String name) {
		double earned = SEEDS.stream()
			.mapToDouble((seed) -> DispatchSim.run(profile(engines, name), seed).earnedShare())
			.average()
			.orElseThrow();
		assertThat(earned, greaterThan(FULL_LOAD_EARNED));
	}

	// Under a lasting shortage, slots for late answers are taken from requests that could
	// be answered in time.
	@ParameterizedTest
	@CsvSource({ "long-passes,shortage", "short-passes,shortage", "long-passes,long-crash", "short-passes,long-crash" })
	void lateAnswersAreRareWhileRequestsAreRefused(String engines, String name) {
		double late = SEEDS.stream()
			.mapToDouble((seed) -> DispatchSim.run(profile(engines, name), seed).lateShare())
			.average()
			.orElseThrow();
		assertThat(late, lessThan(SHORTAGE_LATE));
	}

	// Guards against entries that keep sending to an engine in a spell: at 40 entries
	// none
	// gets enough first events to learn of it in time. All engines have spells, since
	// those of one are within the noise of three seeds.
	@ParameterizedTest
	@ValueSource(strings = { "long-passes", "short-passes" })
	void moreRequestsAreInTimeWhenSpellsAreStated(String engines) {
		double stated = inTimeOfFortyEntries(engines, "all-spells");
		double untold = inTimeOfFortyEntries(engines, "all-spells-untold");
		assertThat(stated - untold, greaterThan(SPELLS_GAIN));
	}

	private static double inTimeOfFortyEntries(String engines, String name) {
		DispatchProfile profile = profile(engines, name).withFleet(40, 12);
		return SEEDS.stream()
			.mapToDouble((seed) -> DispatchSim.run(profile, seed).inTimeShare())
			.average()
			.orElseThrow();
	}

	@ParameterizedTest
	@CsvSource({ "long-passes,crash", "short-passes,switch" })
	void sameSeedGivesIdenticalRuns(String engines, String name) {
		DispatchResult first = DispatchSim.run(profile(engines, name), 7);
		DispatchResult second = DispatchSim.run(profile(engines, name), 7);
		assertThat(second.requests(), is(first.requests()));
		assertThat(second.earnedShare(), is(first.earnedShare()));
		assertThat(second.refusedShare(), is(first.refusedShare()));
	}

	// Forty entries under bursts of the least and the most urgent kind and of one
	// organisation. First come first served, the urgent kind earns less than the others;
	// a reservation without bound would serve the least urgent kind hardly at all.
	@Test
	void urgentRequestsAreServedFirstAtFortyEntries() {
		DispatchResult result = DispatchSim.run(profile("long-passes", "ranks"), 1);
		assertThat(result.earnedByKind().get("urgent"), greaterThan(result.earnedByKind().get("patient")));
		double all = 1 - result.refusedShare();
		assertThat(Collections.min(result.servedByKind().values()), greaterThan(all / 4));
		assertThat(Collections.min(result.servedByOrganisation().values()), greaterThan(all / 4));
		assertThat(result.largestServedShare(), greaterThan(all / 4));
	}

	// Told to retry in a shortage, callers are refused again.
	@Test
	void finalRefusalsSpareCallersASecondRefusal() {
		DispatchResult result = DispatchSim.run(profile("long-passes", "ranks").withFinalRefusals(), 1);
		assertThat(result.refusedAgainShare(), lessThan(0.02));
	}

	private static DispatchProfile profile(String engines, String name) {
		return DispatchProfile.all(EngineProfile.named(engines).orElseThrow())
			.stream()
			.filter((profile) -> profile.name().equals(name))
			.findFirst()
			.orElseThrow();
	}

}
