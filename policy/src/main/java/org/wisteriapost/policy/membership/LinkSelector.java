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
 * Selects the VMs to which an entry opens links: a bounded number of each service's
 * runners and of the other entries.
 *
 * Bounded for fleets of 2,300 entries and 6,400 runners. Were each entry linked to all,
 * every runner would report to every entry each second, a thousand times the 6 KB/s of
 * control traffic that a node may carry. Placement loses little by the bound: the better
 * of two runners out of {@link #RUNNERS_PER_SERVICE} is within a few percent of the
 * better of two out of all.
 */
public final class LinkSelector {

	// Enough that one of three failure domains can fail and the selection still has
	// runners
	// in the two others; the idle traffic of 64 links stays under 6 KB/s.
	private static final int RUNNERS_PER_SERVICE = 24;

	// Up to this number every pair of entries is linked. Beyond it an entry links to
	// those
	// 1, 2, 4, ... positions further along a ring, so that a state update reaches 2,300
	// entries in a few hops.
	private static final int MAX_FULL_MESH_ENTRIES = 16;

	private final String self;

	private LinkSelector(String self) {
		this.self = self;
	}

	public static LinkSelector of(String self) {
		return new LinkSelector(self);
	}

	/**
	 * Returns the VMs to link to. The same list gives the same selection, and adding or
	 * removing a VM changes little of it.
	 */
	public List<Member> select(List<Member> members) {
		List<Member> chosen = new ArrayList<>(entries(members));
		Map<String, List<Member>> services = new TreeMap<>();
		members.stream()
			.filter((member) -> !member.entry())
			.forEach((member) -> services.computeIfAbsent(member.service(), (name) -> new ArrayList<>()).add(member));
		services.values().forEach((runners) -> chosen.addAll(runners(runners)));
		return chosen;
	}

	// Takes the runners of the failure domains in turns, ranked by rendezvous hashing
	// with
	// this entry's name: entries select different runners, and none depends on a single
	// failure domain.
	private List<Member> runners(List<Member> runners) {
		if (runners.size() <= RUNNERS_PER_SERVICE) {
			return runners;
		}
		Map<String, List<Member>> domains = new LinkedHashMap<>();
		runners.stream()
			.sorted(Comparator.comparingLong((Member member) -> rendezvousWeight(member.vm()))
				.thenComparing(Member::vm))
			.forEach((member) -> domains.computeIfAbsent(member.failureDomain(), (domain) -> new ArrayList<>())
				.add(member));
		List<Member> chosen = new ArrayList<>();
		for (int turn = 0; chosen.size() < RUNNERS_PER_SERVICE; turn++) {
			for (List<Member> domain : domains.values()) {
				if (turn < domain.size() && chosen.size() < RUNNERS_PER_SERVICE) {
					chosen.add(domain.get(turn));
				}
			}
		}
		return chosen;
	}

	private List<Member> entries(List<Member> members) {
		List<Member> entries = members.stream()
			.filter(Member::entry)
			.sorted(Comparator.comparingLong((Member member) -> ringPosition(member.vm())).thenComparing(Member::vm))
			.toList();
		int ownPosition = entries.stream().map(Member::vm).toList().indexOf(this.self);
		if (entries.size() <= MAX_FULL_MESH_ENTRIES || ownPosition < 0) {
			// One link for each pair: the entry whose name sorts first opens it.
			return entries.stream()
				.filter((member) -> this.self.compareTo(member.vm()) < 0)
				.limit(MAX_FULL_MESH_ENTRIES)
				.toList();
		}
		Set<Member> chosen = new LinkedHashSet<>();
		for (int distance = 1; distance < entries.size(); distance *= 2) {
			chosen.add(entries.get((ownPosition + distance) % entries.size()));
		}
		return List.copyOf(chosen);
	}

	private long rendezvousWeight(String vm) {
		return Hashing.komihash5_0().hashCharsToLong(this.self + "\n" + vm);
	}

	private static long ringPosition(String vm) {
		return Hashing.komihash5_0().hashCharsToLong(vm);
	}

}
