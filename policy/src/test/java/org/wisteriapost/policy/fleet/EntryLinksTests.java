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
 * The number of links of a fleet over several failure domains, and that every failure
 * domain stays connected.
 */
class EntryLinksTests {

	private static List<EntryInfo> entries(int domains, int perDomain) {
		List<EntryInfo> entries = new ArrayList<>();
		for (int domain = 0; domain < domains; domain++) {
			for (int i = 0; i < perDomain; i++) {
				String name = "edge-" + domain + "-" + i;
				entries.add(new EntryInfo(name, 1, name + ":80", name + ":7700", "hall-" + domain, ""));
			}
		}
		return entries;
	}

	private static List<RunnerInfo> engines(int domains, int perDomain) {
		List<RunnerInfo> engines = new ArrayList<>();
		for (int domain = 0; domain < domains; domain++) {
			for (int i = 0; i < perDomain; i++) {
				String id = "engine-" + domain + "-" + i;
				engines.add(new RunnerInfo(id, "lm", "10." + domain + ".0." + i + ":80", "hall-" + domain, 8, false, 0,
						Map.of(), 1, RunnerIncarnation.UNKNOWN));
			}
		}
		return engines;
	}

	private static List<EntryInfo> others(List<EntryInfo> all, EntryInfo self) {
		return all.stream().filter((info) -> !info.equals(self)).toList();
	}

	// The number of links of an entry to other failure domains depends on the number of
	// failure domains only, not on the number of entries.
	@ParameterizedTest
	@CsvSource({ "3,2,5", "5,3,14", "5,10,17", "10,230,247" })
	void linksOutsideAFailureDomainAreBounded(int domains, int perDomain, int maxLinks) {
		List<EntryInfo> all = entries(domains, perDomain);
		for (EntryInfo self : all.subList(0, perDomain)) {
			assertThat(EntryLinks.select(self, others(all, self)).size(), Matchers.lessThanOrEqualTo(maxLinks));
		}
	}

	@Test
	void everyFailureDomainIsLinkedFromEveryOther() {
		List<EntryInfo> all = entries(5, 10);
		for (EntryInfo self : all) {
			Set<String> domains = new HashSet<>();
			EntryLinks.select(self, others(all, self)).forEach((info) -> domains.add(info.failureDomain()));
			assertThat(domains, Matchers.hasSize(5));
		}
	}

	@Test
	void removingAnEntryChangesNoOtherLinks() {
		List<EntryInfo> all = entries(5, 10);
		EntryInfo self = all.getFirst();
		Set<EntryInfo> before = new HashSet<>(EntryLinks.select(self, others(all, self)));
		EntryInfo removed = all.get(15);
		List<EntryInfo> rest = others(others(all, self), removed);
		Set<EntryInfo> after = new HashSet<>(EntryLinks.select(self, rest));
		before.removeAll(after);
		assertThat(before, Matchers.anyOf(Matchers.empty(), Matchers.equalTo(Set.of(removed))));
	}

	@ParameterizedTest
	@CsvSource({ "hall-1,10,true,10", "hall-1,3,true,3", "hall-1,2,true,10", "hall-1,10,false,50", "nowhere,10,true,50",
			",10,true,50" })
	void callersGetLocalEntriesWhileThereAreEnough(String domain, int perDomain, boolean scopedByDomain, int expected) {
		List<EntryInfo> all = entries(5, perDomain);
		assertThat(AdvertisedEntries.select(all, Optional.ofNullable(domain), scopedByDomain),
				Matchers.hasSize(expected));
	}

	// Each agent gets the list of its peers from two entries of its own failure domain,
	// also
	// when half of these entries have died.
	@ParameterizedTest
	@CsvSource({ "0", "5", "8" })
	void twoLiveEntriesSendEachAgentItsPeers(int dead) {
		List<EntryInfo> all = entries(5, 10);
		List<EntryInfo> live = all.stream()
			.filter((info) -> Integer.parseInt(info.name().substring(7)) >= dead)
			.toList();
		Map<String, Integer> senders = new HashMap<>();
		for (EntryInfo self : live) {
			AgentAssignment assignment = AgentAssignment.of(self);
			assignment.linkedEngines(engines(5, 22), others(all, self))
				.stream()
				.filter((engine) -> assignment.sendsPeerList(engine, others(live, self)))
				.forEach((engine) -> senders.merge(engine.id(), 1, Integer::sum));
		}
		assertThat(senders.size(), Matchers.equalTo(110));
		assertThat(new HashSet<>(senders.values()), Matchers.equalTo(Set.of(2)));
	}

	// All entries of a failure domain are removed but its engines are live: without other
	// entries their agents would not receive new target weights versions.
	@Test
	void agentsOfAFailureDomainWithoutEntriesAreTakenOverByOthers() {
		List<EntryInfo> rest = entries(5, 10).stream()
			.filter((info) -> !info.failureDomain().equals("hall-4"))
			.toList();
		Map<String, Integer> senders = new HashMap<>();
		for (EntryInfo self : rest) {
			AgentAssignment assignment = AgentAssignment.of(self);
			assignment.linkedEngines(engines(5, 22), others(rest, self))
				.stream()
				.filter((engine) -> engine.failureDomain().equals("hall-4"))
				.filter((engine) -> assignment.sendsPeerList(engine, others(rest, self)))
				.forEach((engine) -> senders.merge(engine.id(), 1, Integer::sum));
		}
		assertThat(senders.size(), Matchers.equalTo(22));
		assertThat(new HashSet<>(senders.values()), Matchers.equalTo(Set.of(2)));
	}

}
