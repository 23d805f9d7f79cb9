package org.wisteriapost.policy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Returns which VMs an entry makes links to: a bounded number of each service's runners
 * and of the other entries.
 *
 * Made for 2,300 entries before 6,400 runners. Were each linked to all, every runner
 * would report to every entry each second, a thousand times the 6 KB/s that control may
 * cost a node. A bounded set gives up nothing that placement uses: the better of two out
 * of {@link #RUNNERS_PER_SERVICE} is within a few percent of the better of two out of
 * all.
 */
public final class LinkChoice {

	// Enough that a place, a third of them today, can fail at once and the rest still
	// holds runners in two others; 64 links of idle traffic stay under 6 KB/s.
	private static final int RUNNERS_PER_SERVICE = 24;

	// Up to here every pair of entries is linked. Beyond it links go to the entries 1, 2,
	// 4, ... further along a ring, so that news crosses 2,300 of them in a few hops.
	private static final int ENTRIES_IN_FULL = 16;

	private final String self;

	private LinkChoice(String self) {
		this.self = self;
	}

	/**
	 * Returns the choice of one entry.
	 */
	public static LinkChoice of(String self) {
		return new LinkChoice(self);
	}

	/**
	 * Returns the VMs to link to; the same list gives the same choice, and a VM that
	 * comes or goes changes little of it.
	 */
	public List<Member> choose(List<Member> members) {
		List<Member> chosen = new ArrayList<>(entries(members));
		Map<String, List<Member>> services = new TreeMap<>();
		members.stream()
			.filter((member) -> !member.entry())
			.forEach((member) -> services.computeIfAbsent(member.service(), (name) -> new ArrayList<>()).add(member));
		services.values().forEach((runners) -> chosen.addAll(runners(runners)));
		return chosen;
	}

	// Each place's runners in the order of this entry's own rendezvous hash, taken in
	// turns: entries choose differently, and none depends on one place.
	private List<Member> runners(List<Member> runners) {
		if (runners.size() <= RUNNERS_PER_SERVICE) {
			return runners;
		}
		Map<String, List<Member>> places = new LinkedHashMap<>();
		runners.stream()
			.sorted(Comparator.comparingLong((Member member) -> weight(member.vm())).thenComparing(Member::vm))
			.forEach((member) -> places.computeIfAbsent(member.place(), (place) -> new ArrayList<>()).add(member));
		List<Member> chosen = new ArrayList<>();
		for (int turn = 0; chosen.size() < RUNNERS_PER_SERVICE; turn++) {
			for (List<Member> place : places.values()) {
				if (turn < place.size() && chosen.size() < RUNNERS_PER_SERVICE) {
					chosen.add(place.get(turn));
				}
			}
		}
		return chosen;
	}

	private List<Member> entries(List<Member> members) {
		List<Member> entries = members.stream()
			.filter(Member::entry)
			.sorted(Comparator.comparingLong((Member member) -> ring(member.vm())).thenComparing(Member::vm))
			.toList();
		int own = entries.stream().map(Member::vm).toList().indexOf(this.self);
		if (entries.size() <= ENTRIES_IN_FULL || own < 0) {
			// One link for each pair: the one whose name sorts first makes it.
			return entries.stream()
				.filter((member) -> this.self.compareTo(member.vm()) < 0)
				.limit(ENTRIES_IN_FULL)
				.toList();
		}
		Set<Member> chosen = new LinkedHashSet<>();
		for (int distance = 1; distance < entries.size(); distance *= 2) {
			chosen.add(entries.get((own + distance) % entries.size()));
		}
		return List.copyOf(chosen);
	}

	private long weight(String vm) {
		return Hashing.komihash5_0().hashCharsToLong(this.self + "\n" + vm);
	}

	private static long ring(String vm) {
		return Hashing.komihash5_0().hashCharsToLong(vm);
	}

}
