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
 * Who is there, as one entry sees it: registrations stay when an entry dies, and beyond
 * some size there are links to a part of the others only.
 */
class EntryRosterTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

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

	private static EntryRoster linked(List<EntryInfo> all, EntryInfo self) {
		EntryRoster roster = new EntryRoster(self);
		all.forEach((info) -> roster.put(info, 1, 0));
		roster.toLink().forEach((info) -> roster.linked(info.name(), true, 0));
		return roster;
	}

	// The retry budget is shared by all entries. One that counted only those it is linked
	// to would take a share several times too large, and all together would pass it.
	@ParameterizedTest
	@CsvSource({ "3,2,6,2", "5,10,50,10", "4,9,36,9" })
	void whoIsNotLinkedOnPurposeCounts(int places, int each, int all, int near) {
		List<EntryInfo> entries = entries(places, each);
		EntryCount count = linked(entries, entries.getFirst()).count();
		assertThat(count.total(), Matchers.equalTo(all));
		assertThat(count.inFailureDomain(), Matchers.equalTo(near));
		assertThat(count.partitioned(), Matchers.equalTo(all > 16));
	}

	@Test
	void whoDiedDoesNotCount() {
		List<EntryInfo> entries = entries(5, 10);
		EntryRoster roster = linked(entries, entries.getFirst());
		roster.linked("edge-0-3", false, SECOND);
		roster.linked("edge-0-4", false, SECOND);
		assertThat(roster.count(), Matchers.equalTo(new EntryCount(48, 8, true)));
		assertThat(roster.ready(true).stream().map(EntryInfo::name).toList(),
				Matchers.not(Matchers.hasItem("edge-0-3")));
	}

	// Asked some hundred times a second while nothing changes: the same answers, not
	// worked out again, and new ones after each kind of change.
	@ParameterizedTest
	@MethodSource("changes")
	void whatIsKnownIsWorkedOutAfterChangesOnly(Consumer<EntryRoster> change) {
		List<EntryInfo> entries = entries(3, 7);
		EntryRoster roster = linked(entries, entries.getFirst());
		List<Object> before = known(roster);
		for (int i = 0; i < 3; i++) {
			assertThat(known(roster), sameInstances(before));
		}
		change.accept(roster);
		List<Object> after = known(roster);
		assertThat(after, Matchers.not(sameInstances(before)));
		assertThat(known(roster), sameInstances(after));
		assertThat(after, Matchers.not(Matchers.equalTo(before)));
	}

	private static List<Consumer<EntryRoster>> changes() {
		return List.of((roster) -> roster.put(new EntryInfo("edge-0-1", 2, "other:80", "", "hall-0", ""), 2, 0),
				(roster) -> roster.remove("edge-0-1"), (roster) -> roster.keep(Set.of("edge-0-0", "edge-0-2")),
				(roster) -> roster.linked("edge-0-1", false, 0), (roster) -> roster.leaving("edge-0-1"));
	}

	private static List<Object> known(EntryRoster roster) {
		return List.of(roster.others(), roster.toLink(), roster.living(), roster.near(), roster.told(),
				roster.ready(true), roster.ready(false), roster.count(), roster.sharingReader());
	}

	private static Matcher<Iterable<? extends Object>> sameInstances(List<Object> those) {
		return Matchers.contains(those.stream().map(Matchers::sameInstance).toList());
	}

	// A dead entry's registration is removed once: by the first of its place. An entry
	// elsewhere that has no link to it on purpose must not take that for its death.
	@Test
	void onlyWhoShouldBeLinkedIsTakenForDead() {
		List<EntryInfo> entries = entries(5, 10);
		EntryRoster first = linked(entries, entries.getFirst());
		assertThat(first.dead(60 * SECOND).isPresent(), Matchers.equalTo(false));
		first.linked("edge-0-7", false, SECOND);
		assertThat(first.dead(10 * SECOND).isPresent(), Matchers.equalTo(false));
		assertThat(first.dead(14 * SECOND).orElseThrow().info().name(), Matchers.equalTo("edge-0-7"));
		EntryRoster second = linked(entries, entries.get(1));
		second.linked("edge-0-7", false, SECOND);
		assertThat(second.dead(60 * SECOND).isPresent(), Matchers.equalTo(false));
	}

	@ParameterizedTest
	@CsvSource({ "3,2,0", "3,3,8", "5,10,9" })
	void aReaderIsSharedBeyondSomeEntries(int places, int each, int others) {
		List<EntryInfo> entries = entries(places, each);
		assertThat(linked(entries, entries.getFirst()).sharingReader(), Matchers.hasSize(others));
	}

	@Test
	void whoIsLinkedIsNearOrFar() {
		EntryRoster roster = new EntryRoster(entry("self", "hall-1", "north"));
		roster.put(entry("a", "hall-1", "north"), 1, 0);
		roster.put(entry("b", "hall-2", "north"), 1, 0);
		roster.put(entry("c", "hall-1", "south"), 1, 0);
		assertThat(roster.distances(List.of("a", "b", "c", "d")),
				Matchers.contains(new LinkedEntry("a", Distance.SAME_FAILURE_DOMAIN),
						new LinkedEntry("b", Distance.SAME_REGION), new LinkedEntry("c", Distance.REMOTE),
						new LinkedEntry("d", Distance.REMOTE)));
	}

	private static EntryInfo entry(String name, String place, String region) {
		return new EntryInfo(name, 1, name + ":80", name + ":7700", place, region);
	}

	@Test
	void oneOfEachPlaceSpeaksForIt() {
		List<EntryInfo> entries = entries(5, 10);
		long speakers = entries.stream().filter((self) -> linked(entries, self).speaks()).count();
		assertThat(speakers, Matchers.equalTo(5L));
	}

}
