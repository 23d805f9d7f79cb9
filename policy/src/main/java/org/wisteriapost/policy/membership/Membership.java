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
 * Combines the three sources that report leaving VMs, and selects the entries that are
 * advertised to callers. Not thread-safe.
 *
 * The VM list lags by seconds. So a VM counts as leaving as soon as the list, the
 * platform's mark or the VM itself reports it: new work sent to a leaving VM is lost,
 * while avoiding a VM too early costs only a little capacity. An entry without a link to
 * this one is not advertised even when the list has it, so that a dead one is dropped
 * when its link times out, not when the list catches up.
 */
public final class Membership {

	// Callers need a few addresses for retries. An answer with all of 2,300 entries would
	// be larger than the calls that it serves.
	private static final int MAX_ADVERTISED_ENTRIES = 16;

	private final String self;

	private final String failureDomain;

	private Map<String, Member> members = Map.of();

	private Set<String> markedLeaving = Set.of();

	private final Set<String> announcedLeaving = new HashSet<>();

	private final Set<String> linkedEntries = new HashSet<>();

	private Membership(String self, String failureDomain) {
		this.self = self;
		this.failureDomain = failureDomain;
	}

	/**
	 * Returns an empty membership, as this VM sees it before it has received anything.
	 */
	public static Membership of(String self, String failureDomain) {
		return new Membership(self, failureDomain);
	}

	/**
	 * Replaces the VM list.
	 */
	public void replaceMembers(List<Member> list) {
		Map<String, Member> byName = new LinkedHashMap<>();
		list.forEach((member) -> byName.putIfAbsent(member.vm(), member));
		this.members = byName;
		// A name that returns to the list belongs to a new VM.
		this.announcedLeaving.retainAll(byName.keySet());
	}

	/**
	 * Replaces the set of VMs that the platform has marked as leaving.
	 */
	public void replaceMarks(Set<String> vms) {
		this.markedLeaving = Set.copyOf(vms);
	}

	/**
	 * Records that a VM has announced that it is leaving.
	 */
	public void leavingAnnounced(String vm) {
		this.announcedLeaving.add(vm);
	}

	/**
	 * Records that a link to another entry was opened or closed.
	 */
	public void linkChanged(String vm, boolean connected) {
		if (connected) {
			this.linkedEntries.add(vm);
			return;
		}
		this.linkedEntries.remove(vm);
		// An announcement is valid only for the process that made it: for the next one
		// with
		// this name the list and the marks count.
		this.announcedLeaving.remove(vm);
	}

	/**
	 * Returns all VMs that any source reports as leaving.
	 */
	public Set<String> leaving() {
		Set<String> leaving = new HashSet<>(this.markedLeaving);
		leaving.addAll(this.announcedLeaving);
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
	 * Returns the entries to advertise to callers: linked and not leaving, this entry
	 * first, then those of its own failure domain.
	 * @param draining whether this entry is draining and so not advertised
	 */
	public List<Member> advertisedEntries(boolean draining) {
		Set<String> leaving = leaving();
		List<Member> advertised = new ArrayList<>(this.members.values());
		advertised.removeIf((member) -> !member.entry() || leaving.contains(member.vm()));
		advertised
			.removeIf((member) -> member.vm().equals(this.self) ? draining : !this.linkedEntries.contains(member.vm()));
		advertised.sort(Comparator.comparing((Member member) -> !member.vm().equals(this.self))
			.thenComparing((member) -> !member.failureDomain().equals(this.failureDomain))
			// Names after the own one come first, so that the order of the other entries
			// differs between the entries that answer.
			.thenComparing((member) -> member.vm().compareTo(this.self) < 0)
			.thenComparing(Member::vm));
		return List.copyOf(advertised.subList(0, Math.min(MAX_ADVERTISED_ENTRIES, advertised.size())));
	}

}
