package org.wisteriapost.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * What a fleet of several places costs its links, and that no place is left alone.
 */
class EntryLinksTests {

	private static List<EntryInfo> entries(int places, int each) {
		List<EntryInfo> entries = new ArrayList<>();
		for (int place = 0; place < places; place++) {
			for (int i = 0; i < each; i++) {
				String name = "edge-" + place + "-" + i;
				entries.add(new EntryInfo(name, 1, name + ":80", name + ":7700", "hall-" + place, ""));
			}
		}
		return entries;
	}

	private static List<RunnerInfo> engines(int places, int each) {
		List<RunnerInfo> engines = new ArrayList<>();
		for (int place = 0; place < places; place++) {
			for (int i = 0; i < each; i++) {
				String id = "engine-" + place + "-" + i;
				engines.add(new RunnerInfo(id, "lm", "10." + place + ".0." + i + ":80", "hall-" + place, 8, false, 0,
						Map.of(), 1, RunnerStart.UNKNOWN));
			}
		}
		return engines;
	}

	private static List<EntryInfo> others(List<EntryInfo> all, EntryInfo self) {
		return all.stream().filter((info) -> !info.equals(self)).toList();
	}

	// Load: every entry would link to every other. However many places and entries there
	// are, what one of them links to outside of its place is bounded by the places.
	@ParameterizedTest
	@CsvSource({ "3,2,5", "5,3,14", "5,10,17", "10,230,247" })
	void linksAreBoundedByThePlace(int places, int each, int most) {
		List<EntryInfo> all = entries(places, each);
		for (EntryInfo self : all.subList(0, each)) {
			assertThat(EntryLinks.choose(self, others(all, self)).size(), Matchers.lessThanOrEqualTo(most));
		}
	}

	@Test
	void everyPlaceIsLinkedFromEveryOther() {
		List<EntryInfo> all = entries(5, 10);
		for (EntryInfo self : all) {
			Set<String> places = new HashSet<>();
			EntryLinks.choose(self, others(all, self)).forEach((info) -> places.add(info.place()));
			assertThat(places, Matchers.hasSize(5));
		}
	}

	@Test
	void anEntryThatGoesChangesLittle() {
		List<EntryInfo> all = entries(5, 10);
		EntryInfo self = all.getFirst();
		Set<EntryInfo> before = new HashSet<>(EntryLinks.choose(self, others(all, self)));
		EntryInfo gone = all.get(15);
		List<EntryInfo> rest = others(others(all, self), gone);
		Set<EntryInfo> after = new HashSet<>(EntryLinks.choose(self, rest));
		before.removeAll(after);
		assertThat(before, Matchers.anyOf(Matchers.empty(), Matchers.equalTo(Set.of(gone))));
	}

	@ParameterizedTest
	@CsvSource({ "hall-1,10,true,10", "hall-1,3,true,3", "hall-1,2,true,10", "hall-1,10,false,50", "nowhere,10,true,50",
			",10,true,50" })
	void callersAreToldOfTheirOwnPlaceWhileItHasEnough(String place, int each, boolean byPlace, int expected) {
		List<EntryInfo> all = entries(5, each);
		assertThat(CallerEntries.choose(all, Optional.ofNullable(place), byPlace), Matchers.hasSize(expected));
	}

	// A hundred agents and fifty entries. Each agent is told its peers by two entries of
	// its own place, and again by two when half of the place has died.
	@ParameterizedTest
	@CsvSource({ "0", "5", "8" })
	void twoLivingEntriesTellEachAgentItsPeers(int dead) {
		List<EntryInfo> all = entries(5, 10);
		List<EntryInfo> living = all.stream()
			.filter((info) -> Integer.parseInt(info.name().substring(7)) >= dead)
			.toList();
		Map<String, Integer> told = new HashMap<>();
		for (EntryInfo self : living) {
			AgentDuty duty = AgentDuty.of(self);
			duty.linked(engines(5, 22), others(all, self))
				.stream()
				.filter((engine) -> duty.tells(engine, others(living, self)))
				.forEach((engine) -> told.merge(engine.id(), 1, Integer::sum));
		}
		assertThat(told.size(), Matchers.equalTo(110));
		assertThat(new HashSet<>(told.values()), Matchers.equalTo(Set.of(2)));
	}

	// All entries of a place are gone for good, its engines live: their agents would
	// never hear of weights that are named.
	@Test
	void agentsOfAPlaceWithoutEntriesAreTakenOverByOthers() {
		List<EntryInfo> rest = entries(5, 10).stream().filter((info) -> !info.place().equals("hall-4")).toList();
		Map<String, Integer> told = new HashMap<>();
		for (EntryInfo self : rest) {
			AgentDuty duty = AgentDuty.of(self);
			duty.linked(engines(5, 22), others(rest, self))
				.stream()
				.filter((engine) -> engine.place().equals("hall-4"))
				.filter((engine) -> duty.tells(engine, others(rest, self)))
				.forEach((engine) -> told.merge(engine.id(), 1, Integer::sum));
		}
		assertThat(told.size(), Matchers.equalTo(22));
		assertThat(new HashSet<>(told.values()), Matchers.equalTo(Set.of(2)));
	}

}
