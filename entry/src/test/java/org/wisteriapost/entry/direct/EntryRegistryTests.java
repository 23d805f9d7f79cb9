package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.hamcrest.Matcher;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.policy.dispatch.EntryCount;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.LinkedEntry.Distance;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * The view that one entry has of the others: registrations stay when an entry dies, and
 * above some number of entries only a part of them is linked.
 */
class EntryRegistryTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static List<EntryInfo> entries(int failureDomains, int perFailureDomain) {
		List<EntryInfo> entries = new ArrayList<>();
		for (int domain = 0; domain < failureDomains; domain++) {
			for (int i = 0; i < perFailureDomain; i++) {
				String name = "edge-" + domain + "-" + i;
				entries.add(new EntryInfo(name, 1, name + ":80", name + ":7700", "hall-" + domain, ""));
			}
		}
		return entries;
	}

	private static EntryRegistry linked(List<EntryInfo> all, EntryInfo self) {
		EntryRegistry registry = new EntryRegistry(self);
		all.forEach((info) -> registry.put(info, 1, 0));
		registry.linkTargets().forEach((info) -> registry.linkChanged(info.name(), true, 0));
		return registry;
	}

	// All entries share the retry budget. An entry that counted only linked ones would
	// take a share several times too large.
	@ParameterizedTest
	@CsvSource({ "3,2,6,2", "5,10,50,10", "4,9,36,9" })
	void intentionallyUnlinkedEntriesAreCounted(int failureDomains, int perFailureDomain, int total,
			int inFailureDomain) {
		List<EntryInfo> entries = entries(failureDomains, perFailureDomain);
		EntryCount count = linked(entries, entries.getFirst()).entryCount();
		assertThat(count.total(), Matchers.equalTo(total));
		assertThat(count.inFailureDomain(), Matchers.equalTo(inFailureDomain));
		assertThat(count.partitioned(), Matchers.equalTo(total > 16));
	}

	@Test
	void unreachableEntriesAreNotCounted() {
		List<EntryInfo> entries = entries(5, 10);
		EntryRegistry registry = linked(entries, entries.getFirst());
		registry.linkChanged("edge-0-3", false, SECOND);
		registry.linkChanged("edge-0-4", false, SECOND);
		assertThat(registry.entryCount(), Matchers.equalTo(new EntryCount(48, 8, true)));
		assertThat(registry.advertisedEntries(true).stream().map(EntryInfo::name).toList(),
				Matchers.not(Matchers.hasItem("edge-0-3")));
	}

	// The lists are read some hundred times a second, so they must not be recomputed
	// without a change.
	@ParameterizedTest
	@MethodSource("changes")
	void derivedListsAreRecomputedOnlyAfterChanges(Consumer<EntryRegistry> change) {
		List<EntryInfo> entries = entries(3, 7);
		EntryRegistry registry = linked(entries, entries.getFirst());
		List<Object> before = derivedLists(registry);
		for (int i = 0; i < 3; i++) {
			assertThat(derivedLists(registry), sameInstances(before));
		}
		change.accept(registry);
		List<Object> after = derivedLists(registry);
		assertThat(after, Matchers.not(sameInstances(before)));
		assertThat(derivedLists(registry), sameInstances(after));
		assertThat(after, Matchers.not(Matchers.equalTo(before)));
	}

	private static List<Consumer<EntryRegistry>> changes() {
		return List.of((registry) -> registry.put(new EntryInfo("edge-0-1", 2, "other:80", "", "hall-0", ""), 2, 0),
				(registry) -> registry.remove("edge-0-1"),
				(registry) -> registry.retain(Set.of("edge-0-0", "edge-0-2")),
				(registry) -> registry.linkChanged("edge-0-1", false, 0),
				(registry) -> registry.markLeaving("edge-0-1"));
	}

	private static List<Object> derivedLists(EntryRegistry registry) {
		return List.of(registry.registeredPeers(), registry.linkTargets(), registry.livePeers(),
				registry.failureDomainPeers(), registry.loadReportReceivers(), registry.advertisedEntries(true),
				registry.advertisedEntries(false), registry.entryCount(), registry.leaderGroup());
	}

	private static Matcher<Iterable<? extends Object>> sameInstances(List<Object> those) {
		return Matchers.contains(those.stream().map(Matchers::sameInstance).toList());
	}

	// The store was restored from a copy that lacks registrations. Guards against callers
	// that are directed to the other entries alone, and against entries that are gone.
	@Test
	void linkedEntriesOutlastAListingThatLacksThem() {
		List<EntryInfo> entries = entries(1, 3);
		EntryRegistry registry = linked(entries, entries.getFirst());
		registry.linkChanged("edge-0-2", false, SECOND);
		registry.retain(Set.of());
		assertThat(registry.livePeers(), Matchers.contains(entries.get(1)));
		assertThat(registry.selfRegistered(), Matchers.is(false));
		registry.linkChanged("edge-0-1", false, 2 * SECOND);
		assertThat(registry.registeredPeers(), Matchers.empty());
		registry.linkChanged("edge-0-1", true, 3 * SECOND);
		registry.put(entries.get(1), 4, 3 * SECOND);
		registry.linkChanged("edge-0-1", false, 4 * SECOND);
		assertThat(registry.registeredPeers(), Matchers.contains(entries.get(1)));
	}

	// Only the first live entry of a failure domain removes the registration of an
	// unreachable peer. A missing link to an entry that is no link target must not
	// count as its death.
	@Test
	void onlyIntendedLinkTargetsExpire() {
		List<EntryInfo> entries = entries(5, 10);
		EntryRegistry first = linked(entries, entries.getFirst());
		assertThat(first.expiredRegistration(60 * SECOND).isPresent(), Matchers.equalTo(false));
		first.linkChanged("edge-0-7", false, SECOND);
		assertThat(first.expiredRegistration(10 * SECOND).isPresent(), Matchers.equalTo(false));
		assertThat(first.expiredRegistration(14 * SECOND).orElseThrow().info().name(), Matchers.equalTo("edge-0-7"));
		EntryRegistry second = linked(entries, entries.get(1));
		second.linkChanged("edge-0-7", false, SECOND);
		assertThat(second.expiredRegistration(60 * SECOND).isPresent(), Matchers.equalTo(false));
	}

	@ParameterizedTest
	@CsvSource({ "3,2,0", "3,3,8", "5,10,9" })
	void leaderGroupExistsAboveThreshold(int failureDomains, int perFailureDomain, int others) {
		List<EntryInfo> entries = entries(failureDomains, perFailureDomain);
		assertThat(linked(entries, entries.getFirst()).leaderGroup(), Matchers.hasSize(others));
	}

	@Test
	void distancesFollowFailureDomainAndRegion() {
		EntryRegistry registry = new EntryRegistry(entry("self", "hall-1", "north"));
		registry.put(entry("a", "hall-1", "north"), 1, 0);
		registry.put(entry("b", "hall-2", "north"), 1, 0);
		registry.put(entry("c", "hall-1", "south"), 1, 0);
		assertThat(registry.linkDistances(List.of("a", "b", "c", "d")),
				Matchers.contains(new LinkedEntry("a", Distance.SAME_FAILURE_DOMAIN),
						new LinkedEntry("b", Distance.SAME_REGION), new LinkedEntry("c", Distance.REMOTE),
						new LinkedEntry("d", Distance.REMOTE)));
	}

	private static EntryInfo entry(String name, String domain, String region) {
		return new EntryInfo(name, 1, name + ":80", name + ":7700", domain, region);
	}

	@Test
	void eachFailureDomainHasOneRelay() {
		List<EntryInfo> entries = entries(5, 10);
		long speakers = entries.stream().filter((self) -> linked(entries, self).isRelay()).count();
		assertThat(speakers, Matchers.equalTo(5L));
	}

}
