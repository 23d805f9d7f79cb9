package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.wisteriapost.policy.dispatch.EntryCount;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.EntryLinks;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;

/**
 * Which entries there are and which of them callers are told of.
 *
 * Registrations in the store stay when an entry dies, and a heartbeat of every entry
 * there would cost a write each second and entry. So an entry counts as alive while the
 * link to it is up, which a killed process ends at once and a silent machine after three
 * seconds. The store only says whom to link to.
 */
final class EntryRoster {

	// Long enough for a restart, so that an entry's own registration is seldom removed
	// while it comes back.
	private static final long DEAD_NANOS = Duration.ofSeconds(12).toNanos();

	private final EntryInfo self;

	private final Map<String, Registered> registered = new HashMap<>();

	private final Set<String> linked = new HashSet<>();

	private final Set<String> leaving = new HashSet<>();

	// Load: all of these are asked for at each tick or after each event. Harm prevented:
	// with dozens of entries an entry at rest spends most of its time on the same lists
	// again and again. They are worked out after changes only.
	private final List<Remembered<?>> remembered = new ArrayList<>();

	private final Remembered<List<EntryInfo>> others = remember(this::findOthers);

	private final Remembered<List<EntryInfo>> toLink = remember(this::chooseToLink);

	private final Remembered<List<EntryInfo>> living = remember(this::findLiving);

	private final Remembered<List<EntryInfo>> near = remember(this::findNear);

	private final Remembered<EntryCount> count = remember(this::countAll);

	private final Remembered<Set<String>> sharingReader = remember(this::findSharingReader);

	private final Remembered<Boolean> speaks = remember(this::isSpeaker);

	private final Remembered<List<EntryInfo>> named = remember(this::findNamed);

	private final Remembered<List<EntryInfo>> namedWithSelf = remember(this::withSelf);

	EntryRoster(EntryInfo self) {
		this.self = self;
	}

	private <T> Remembered<T> remember(Supplier<T> source) {
		Remembered<T> one = new Remembered<>(source);
		this.remembered.add(one);
		return one;
	}

	private void changed() {
		this.remembered.forEach(Remembered::forget);
	}

	void put(EntryInfo info, long revision, long nowNanos) {
		changed();
		Registered before = this.registered.get(info.name());
		if (before == null || before.info.incarnation() != info.incarnation()) {
			this.leaving.remove(info.name());
			this.registered.put(info.name(), new Registered(info, revision, nowNanos));
			return;
		}
		this.registered.put(info.name(), new Registered(info, revision, before.downSinceNanos));
	}

	void remove(String name) {
		changed();
		this.registered.remove(name);
	}

	void keep(Set<String> names) {
		changed();
		this.registered.keySet().retainAll(names);
	}

	void linked(String name, boolean up, long nowNanos) {
		changed();
		if (up) {
			this.linked.add(name);
			this.leaving.remove(name);
			return;
		}
		this.linked.remove(name);
		Registered entry = this.registered.get(name);
		if (entry != null) {
			this.registered.put(name, new Registered(entry.info, entry.revision, nowNanos));
		}
	}

	void leaving(String name) {
		changed();
		this.leaving.add(name);
	}

	/**
	 * Returns the other registered entries.
	 */
	List<EntryInfo> others() {
		return this.others.get();
	}

	private List<EntryInfo> findOthers() {
		return this.registered.values()
			.stream()
			.map(Registered::info)
			.filter((info) -> !info.name().equals(this.self.name()))
			.toList();
	}

	/**
	 * Returns whether the store holds this start of this entry.
	 */
	boolean selfRegistered() {
		Registered own = this.registered.get(this.self.name());
		return own != null && own.info.incarnation() == this.self.incarnation();
	}

	/**
	 * Returns the other entries to which this one is to be linked.
	 */
	List<EntryInfo> toLink() {
		return this.toLink.get();
	}

	private List<EntryInfo> chooseToLink() {
		return EntryLinks.select(this.self, others());
	}

	/**
	 * Returns the other entries that live, as far as there are links to them.
	 */
	List<EntryInfo> living() {
		return this.living.get();
	}

	private List<EntryInfo> findLiving() {
		return others().stream().filter((info) -> this.linked.contains(info.name())).toList();
	}

	/**
	 * Returns the other living entries of this place.
	 */
	List<EntryInfo> near() {
		return this.near.get();
	}

	private List<EntryInfo> findNear() {
		return living().stream().filter((info) -> info.failureDomain().equals(this.self.failureDomain())).toList();
	}

	/**
	 * Returns the entries that callers may be told of.
	 * @param self whether this entry is one of them
	 */
	List<EntryInfo> ready(boolean self) {
		return self ? this.namedWithSelf.get() : this.named.get();
	}

	private List<EntryInfo> withSelf() {
		return Stream.concat(Stream.of(this.self), this.named.get().stream()).toList();
	}

	private List<EntryInfo> findNamed() {
		return living().stream()
			.filter((info) -> !this.leaving.contains(info.name()))
			.sorted(Comparator.comparing(EntryInfo::callerAddress))
			.toList();
	}

	/**
	 * Returns the place of another registered entry.
	 */
	Optional<String> placeOf(String name) {
		return Optional.ofNullable(this.registered.get(name)).map((entry) -> entry.info.failureDomain());
	}

	/**
	 * Returns how far away entries are.
	 * @param names of those to which there is a link
	 */
	List<LinkedEntry> distances(Collection<String> names) {
		return names.stream()
			.map((name) -> Optional.ofNullable(this.registered.get(name))
				.map((entry) -> LinkedEntry.of(this.self, entry.info))
				.orElse(LinkedEntry.unknown(name)))
			.toList();
	}

	/**
	 * Returns the entries that hear from this one itself what it has in flight.
	 */
	List<EntryInfo> told() {
		return byPlace() ? near() : others();
	}

	/**
	 * Returns whether there are so many entries that places keep to themselves.
	 */
	boolean byPlace() {
		int own = this.registered.containsKey(this.self.name()) ? 1 : 0;
		return EntryLinks.scopedByFailureDomain(this.registered.size() - own + 1);
	}

	/**
	 * Returns how many entries share the budgets: those registered but for those that
	 * this one should be linked to and is not.
	 */
	EntryCount count() {
		return this.count.get();
	}

	private EntryCount countAll() {
		List<EntryInfo> others = others();
		long dead = toLink().stream().filter((info) -> !this.linked.contains(info.name())).count();
		return new EntryCount((int) (others.size() - dead) + 1, near().size() + 1, byPlace());
	}

	/**
	 * Returns the other entries of which one may read the store for all: those of this
	 * place, or all where places do not keep to themselves.
	 */
	Set<String> sharingReader() {
		return this.sharingReader.get();
	}

	private Set<String> findSharingReader() {
		if (others().size() < StoreRole.MAX_ENTRIES_WITHOUT_LEADER) {
			return Set.of();
		}
		return told().stream()
			.map(EntryInfo::name)
			.filter((name) -> this.linked.contains(name) && !this.leaving.contains(name))
			.collect(Collectors.toSet());
	}

	/**
	 * Returns whether this entry speaks for its place to the others: it is the first by
	 * rendezvous of those that live there.
	 */
	boolean speaks() {
		return this.speaks.get();
	}

	private boolean isSpeaker() {
		List<String> near = near().stream()
			.map(EntryInfo::name)
			.filter((name) -> !this.leaving.contains(name))
			.toList();
		return RendezvousHashing.isAmongFirst(this.self.name(), near, this.self.failureDomain(), 1);
	}

	/**
	 * Returns a registration to remove: its entry has long been dead, and this entry is
	 * the first by name of those alive near by, so that one removes it and not all.
	 */
	Optional<Registered> dead(long nowNanos) {
		List<EntryInfo> peers = byPlace() ? near() : living();
		if (peers.stream().anyMatch((info) -> info.name().compareTo(this.self.name()) < 0)) {
			return Optional.empty();
		}
		Set<String> watched = toLink().stream().map(EntryInfo::name).collect(Collectors.toSet());
		return this.registered.values()
			.stream()
			.filter((entry) -> watched.contains(entry.info.name()))
			.filter((entry) -> !this.linked.contains(entry.info.name()))
			.filter((entry) -> nowNanos - entry.downSinceNanos > DEAD_NANOS)
			.findFirst();
	}

	/**
	 * One registration.
	 *
	 * @param info as it says
	 * @param revision as it was read
	 * @param downSinceNanos since when there is no link to it
	 */
	record Registered(EntryInfo info, long revision, long downSinceNanos) {
	}

	/** Something worked out from what is known, until that changes. */
	private static final class Remembered<T> {

		private final Supplier<T> source;

		private Optional<T> value = Optional.empty();

		private Remembered(Supplier<T> source) {
			this.source = source;
		}

		private T get() {
			if (this.value.isEmpty()) {
				this.value = Optional.of(this.source.get());
			}
			return this.value.get();
		}

		private void forget() {
			this.value = Optional.empty();
		}

	}

}
