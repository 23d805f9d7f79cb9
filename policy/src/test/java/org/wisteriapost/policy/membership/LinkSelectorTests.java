package org.wisteriapost.policy.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LinkSelectorTests {

	@Test
	void smallFleetIsAFullMeshWithOneLinkAPair() {
		List<Member> members = fleet(6, 13);
		int pairs = 0;
		for (int i = 0; i < 6; i++) {
			List<Member> chosen = LinkSelector.of("entry-" + i).select(members);
			assertThat(chosen.stream().filter((member) -> !member.entry()).count(), is(13L));
			pairs += (int) chosen.stream().filter(Member::entry).count();
		}
		assertThat(pairs, is(15));
	}

	@Test
	void linksOfALargeFleetAreBoundedAndInEveryFailureDomain() {
		List<Member> chosen = LinkSelector.of("entry-7").select(fleet(2300, 6400));
		assertThat(chosen.size(), lessThanOrEqualTo(24 + 12));
		Set<String> domains = chosen.stream()
			.filter((member) -> !member.entry())
			.map(Member::failureDomain)
			.collect(Collectors.toSet());
		assertThat(domains.size(), is(10));
	}

	@Test
	void almostEveryRunnerIsSelectedBySomeEntry() {
		List<Member> members = fleet(300, 900);
		Set<String> linked = new HashSet<>();
		for (int i = 0; i < 300; i++) {
			LinkSelector.of("entry-" + i).select(members).forEach((member) -> linked.add(member.vm()));
		}
		assertThat(linked.stream().filter((vm) -> vm.startsWith("vm-")).count(), greaterThan(895L));
	}

	// State updates must reach entries that cannot reach the platform. Links are
	// bidirectional, so the undirected graph of all selections must be connected.
	@Test
	void updatesReachEveryEntryInAFewHops() {
		List<Member> members = fleet(2300, 0);
		Map<String, Set<String>> links = new HashMap<>();
		for (int i = 0; i < 2300; i++) {
			String self = "entry-" + i;
			for (Member member : LinkSelector.of(self).select(members)) {
				links.computeIfAbsent(self, (vm) -> new HashSet<>()).add(member.vm());
				links.computeIfAbsent(member.vm(), (vm) -> new HashSet<>()).add(self);
			}
		}
		Map<String, Integer> hops = new HashMap<>(Map.of("entry-0", 0));
		Deque<String> queue = new ArrayDeque<>(List.of("entry-0"));
		while (!queue.isEmpty()) {
			String vm = queue.poll();
			for (String next : links.get(vm)) {
				if (hops.putIfAbsent(next, hops.get(vm) + 1) == null) {
					queue.add(next);
				}
			}
		}
		assertThat(hops.size(), is(2300));
		assertThat(hops.values().stream().mapToInt(Integer::intValue).max().orElseThrow(), lessThanOrEqualTo(6));
	}

	@Test
	void removingARunnerChangesAtMostOneLink() {
		List<Member> members = fleet(6, 900);
		List<Member> before = LinkSelector.of("entry-0").select(members);
		Member removed = before.getLast();
		List<Member> rest = new ArrayList<>(members);
		rest.remove(removed);
		Set<Member> kept = new HashSet<>(LinkSelector.of("entry-0").select(rest));
		assertThat(before.stream().filter((member) -> !kept.contains(member)).toList(), is(List.of(removed)));
	}

	private static List<Member> fleet(int entries, int runners) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < entries; i++) {
			members.add(new Member("entry-" + i, "place-" + i % 10, true, "", "127.0.0.1", 1, 1, false));
		}
		for (int i = 0; i < runners; i++) {
			members.add(new Member("vm-" + i, "place-" + i % 10, false, "lm", "127.0.0.1", 1, 0, false));
		}
		return members;
	}

}
