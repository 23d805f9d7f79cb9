package org.wisteriapost.policy.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Puts together the three words on who is leaving and names the addresses that callers
 * may use. Used by one thread.
 *
 * Made for a list that lags by seconds: a VM counts as leaving as soon as any of the
 * list, the platform's mark and the VM itself says so, because new work sent to a VM that
 * goes is lost, while a VM avoided too early costs only a little capacity. An entry that
 * is linked to no one is not named even when the list has it, so that a dead one drops
 * out in the seconds in which the link is missed, not when the list catches up.
 */
public final class Membership {

	// Callers need a few addresses to try in turn. Naming all of 2,300 entries would make
	// the answer larger than the calls it serves.
	private static final int MAX_NAMED = 16;

	private final String self;

	private final String place;

	private Map<String, Member> members = Map.of();

	private Set<String> marked = Set.of();

	private final Set<String> announced = new HashSet<>();

	private final Set<String> linked = new HashSet<>();

	private Membership(String self, String place) {
		this.self = self;
		this.place = place;
	}

	/**
	 * Returns the membership as a VM sees it that has heard nothing yet.
	 */
	public static Membership of(String self, String place) {
		return new Membership(self, place);
	}

	/**
	 * Takes a new reading of the VM list.
	 */
	public void list(List<Member> list) {
		Map<String, Member> byName = new LinkedHashMap<>();
		list.forEach((member) -> byName.putIfAbsent(member.vm(), member));
		this.members = byName;
		// A name that left the list and comes back is a new VM under an old name.
		this.announced.retainAll(byName.keySet());
	}

	/**
	 * Takes the platform's marks.
	 */
	public void marks(Set<String> vms) {
		this.marked = Set.copyOf(vms);
	}

	/**
	 * Takes a VM's own word that it is leaving.
	 */
	public void announced(String vm) {
		this.announced.add(vm);
	}

	/**
	 * Notes a link to another entry.
	 */
	public void linked(String vm, boolean up) {
		if (up) {
			this.linked.add(vm);
			return;
		}
		this.linked.remove(vm);
		// What a process said of itself ends with it: the next one under this name is
		// judged by the list and the marks.
		this.announced.remove(vm);
	}

	/**
	 * Returns all VMs known to be leaving.
	 */
	public Set<String> leaving() {
		Set<String> leaving = new HashSet<>(this.marked);
		leaving.addAll(this.announced);
		this.members.values().stream().filter(Member::leaving).map(Member::vm).forEach(leaving::add);
		return leaving;
	}

	/**
	 * Returns a VM of the list by name.
	 */
	public Optional<Member> member(String vm) {
		return Optional.ofNullable(this.members.get(vm));
	}

	/**
	 * Returns all VMs of the list.
	 */
	public List<Member> members() {
		return List.copyOf(this.members.values());
	}

	/**
	 * Returns the entries that callers may use: live, not leaving, own place first and
	 * this one at the front.
	 * @param draining whether this entry is leaving and so not named
	 */
	public List<Member> entries(boolean draining) {
		Set<String> leaving = leaving();
		List<Member> named = new ArrayList<>(this.members.values());
		named.removeIf((member) -> !member.entry() || leaving.contains(member.vm()));
		named.removeIf((member) -> member.vm().equals(this.self) ? draining : !this.linked.contains(member.vm()));
		named.sort(Comparator.comparing((Member member) -> !member.vm().equals(this.self))
			.thenComparing((member) -> !member.place().equals(this.place))
			// Ordered by distance from the own name, so that the entries after the own
			// place differ from one answer's giver to the next.
			.thenComparing((member) -> member.vm().compareTo(this.self) < 0)
			.thenComparing(Member::vm));
		return List.copyOf(named.subList(0, Math.min(MAX_NAMED, named.size())));
	}

}
