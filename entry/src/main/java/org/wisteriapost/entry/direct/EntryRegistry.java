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

import org.wisteriapost.policy.coldstart.RegisteredEntries;
import org.wisteriapost.policy.dispatch.EntryCount;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.EntryLinks;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.ratelimit.EntryGroup;

/**
 * The registered entries, and those of them that are alive and advertised to callers.
 *
 * Registrations stay in the store when an entry dies, and a heartbeat of each entry there
 * would cost a write per second and entry. So an entry counts as alive while the link to
 * it is up: a killed process closes it at once, and a silent machine is detected after
 * three seconds. The store only tells which entries to link to.
 */
final class EntryRegistry {

	// Long enough for a restart, so that the registration of a restarting entry is
	// rarely removed.
	private static final long EXPIRY_NANOS = Duration.ofSeconds(12).toNanos();

	private final EntryInfo self;

	private final Map<String, Registration> registered = new HashMap<>();

	private final Set<String> linkedNames = new HashSet<>();

	private final Set<String> leavingNames = new HashSet<>();

	// Linked entries without a registration in the store.
	private final Set<String> unlistedNames = new HashSet<>();

	// All of these are read on each tick or event. With dozens of entries an idle entry
	// would spend most of its time computing the same lists, so they are computed only
	// after changes.
	private final List<Memoized<?>> memoized = new ArrayList<>();

	private final Memoized<List<EntryInfo>> registeredPeers = memoize(this::computeRegisteredPeers);

	private final Memoized<List<EntryInfo>> linkTargets = memoize(this::computeLinkTargets);

	private final Memoized<List<EntryInfo>> livePeers = memoize(this::computeLivePeers);

	private final Memoized<List<EntryInfo>> failureDomainPeers = memoize(this::computeFailureDomainPeers);

	private final Memoized<EntryCount> entryCount = memoize(this::computeCount);

	private final Memoized<EntryGroup> entryGroup = memoize(this::computeGroup);

	private final Memoized<RegisteredEntries> registeredEntries = memoize(this::computeRegisteredEntries);

	private final Memoized<Set<String>> leaderGroup = memoize(this::computeLeaderGroup);

	private final Memoized<Boolean> isRelay = memoize(this::computeIsRelay);

	private final Memoized<List<EntryInfo>> advertisedPeers = memoize(this::computeAdvertisedPeers);

	private final Memoized<List<EntryInfo>> advertisedWithSelf = memoize(this::computeAdvertisedWithSelf);

	EntryRegistry(EntryInfo self) {
		this.self = self;
	}

	private <T> Memoized<T> memoize(Supplier<T> source) {
		Memoized<T> value = new Memoized<>(source);
		this.memoized.add(value);
		return value;
	}

	private void invalidate() {
		this.memoized.forEach(Memoized::invalidate);
	}

	void put(EntryInfo info, long revision, long nowNanos) {
		invalidate();
		this.unlistedNames.remove(info.name());
		Registration before = this.registered.get(info.name());
		if (before == null || before.info.incarnation() != info.incarnation()) {
			this.leavingNames.remove(info.name());
			this.registered.put(info.name(), new Registration(info, revision, nowNanos));
			return;
		}
		this.registered.put(info.name(), new Registration(info, revision, before.unlinkedSinceNanos));
	}

	void remove(String name) {
		invalidate();
		this.registered.remove(name);
		this.unlistedNames.remove(name);
	}

	/**
	 * Removes entries that a listing lacks, except linked ones until their link is
	 * closed: a store that was restored from a copy lacks them until they register again,
	 * and callers would be directed to the others alone.
	 */
	void retain(Set<String> names) {
		invalidate();
		this.registered.keySet().removeIf((name) -> !names.contains(name) && !this.linkedNames.contains(name));
		this.unlistedNames.clear();
		this.unlistedNames.addAll(this.registered.keySet());
		this.unlistedNames.removeAll(names);
	}

	void linkChanged(String name, boolean up, long nowNanos) {
		invalidate();
		if (up) {
			this.linkedNames.add(name);
			this.leavingNames.remove(name);
			return;
		}
		this.linkedNames.remove(name);
		if (this.unlistedNames.remove(name)) {
			this.registered.remove(name);
		}
		Registration entry = this.registered.get(name);
		if (entry != null) {
			this.registered.put(name, new Registration(entry.info, entry.revision, nowNanos));
		}
	}

	void markLeaving(String name) {
		invalidate();
		this.leavingNames.add(name);
	}

	List<EntryInfo> registeredPeers() {
		return this.registeredPeers.get();
	}

	private List<EntryInfo> computeRegisteredPeers() {
		return this.registered.values()
			.stream()
			.map(Registration::info)
			.filter((info) -> !info.name().equals(this.self.name()))
			.toList();
	}

	/**
	 * Returns whether the store holds the registration of this incarnation of this entry.
	 */
	boolean selfRegistered() {
		Registration own = this.registered.get(this.self.name());
		return own != null && own.info.incarnation() == this.self.incarnation();
	}

	/**
	 * Returns the other entries that this one should be linked to.
	 */
	List<EntryInfo> linkTargets() {
		return this.linkTargets.get();
	}

	private List<EntryInfo> computeLinkTargets() {
		return EntryLinks.select(this.self, registeredPeers());
	}

	/**
	 * Returns the other entries that are linked, and so alive.
	 */
	List<EntryInfo> livePeers() {
		return this.livePeers.get();
	}

	private List<EntryInfo> computeLivePeers() {
		return registeredPeers().stream().filter((info) -> this.linkedNames.contains(info.name())).toList();
	}

	/**
	 * Returns the other live entries of this failure domain.
	 */
	List<EntryInfo> failureDomainPeers() {
		return this.failureDomainPeers.get();
	}

	private List<EntryInfo> computeFailureDomainPeers() {
		return livePeers().stream().filter((info) -> info.failureDomain().equals(this.self.failureDomain())).toList();
	}

	/**
	 * Returns the entries to advertise to callers.
	 * @param self whether this entry is one of them
	 */
	List<EntryInfo> advertisedEntries(boolean self) {
		return self ? this.advertisedWithSelf.get() : this.advertisedPeers.get();
	}

	private List<EntryInfo> computeAdvertisedWithSelf() {
		return Stream.concat(Stream.of(this.self), this.advertisedPeers.get().stream()).toList();
	}

	private List<EntryInfo> computeAdvertisedPeers() {
		return livePeers().stream()
			.filter((info) -> !this.leavingNames.contains(info.name()))
			.sorted(Comparator.comparing(EntryInfo::callerAddress))
			.toList();
	}

	/**
	 * Returns the failure domain of another registered entry.
	 */
	Optional<String> failureDomainOf(String name) {
		return Optional.ofNullable(this.registered.get(name)).map((entry) -> entry.info.failureDomain());
	}

	/**
	 * Returns the distances to other entries.
	 * @param names of the linked entries
	 */
	List<LinkedEntry> linkDistances(Collection<String> names) {
		return names.stream()
			.map((name) -> Optional.ofNullable(this.registered.get(name))
				.map((entry) -> LinkedEntry.of(this.self, entry.info))
				.orElse(LinkedEntry.unknown(name)))
			.toList();
	}

	/**
	 * Returns the entries that receive load reports directly from this one.
	 */
	List<EntryInfo> loadReportReceivers() {
		return scopedByFailureDomain() ? failureDomainPeers() : registeredPeers();
	}

	/**
	 * Returns whether there are so many entries that direct links are scoped by failure
	 * domain.
	 */
	boolean scopedByFailureDomain() {
		int own = this.registered.containsKey(this.self.name()) ? 1 : 0;
		return EntryLinks.scopedByFailureDomain(this.registered.size() - own + 1);
	}

	/**
	 * Returns how many entries share the budgets: all registered ones, except those that
	 * this entry should be linked to and is not.
	 */
	EntryCount entryCount() {
		return this.entryCount.get();
	}

	private EntryCount computeCount() {
		List<EntryInfo> peers = registeredPeers();
		long unreachable = linkTargets().stream().filter((info) -> !this.linkedNames.contains(info.name())).count();
		return new EntryCount((int) (peers.size() - unreachable) + 1, failureDomainPeers().size() + 1,
				scopedByFailureDomain());
	}

	/**
	 * Returns the entries that share the rate limits of runners: all registered ones.
	 */
	EntryGroup entryGroup() {
		return this.entryGroup.get();
	}

	private EntryGroup computeGroup() {
		Map<String, Integer> sizes = Stream.concat(Stream.of(this.self), registeredPeers().stream())
			.collect(Collectors.toMap(EntryInfo::failureDomain, (info) -> 1, Integer::sum));
		return new EntryGroup(this.self.failureDomain(), sizes, scopedByFailureDomain());
	}

	/**
	 * Returns all registered entries with their failure domains.
	 */
	RegisteredEntries registeredEntries() {
		return this.registeredEntries.get();
	}

	private RegisteredEntries computeRegisteredEntries() {
		return new RegisteredEntries(this.self.name(),
				this.registered.values()
					.stream()
					.map(Registration::info)
					.collect(Collectors.toMap(EntryInfo::name, EntryInfo::failureDomain)));
	}

	/**
	 * Returns the other live entries among which one may be the leader that reads the
	 * store for all: those of this failure domain, or all entries if links are not scoped
	 * by failure domain.
	 */
	Set<String> leaderGroup() {
		return this.leaderGroup.get();
	}

	private Set<String> computeLeaderGroup() {
		if (registeredPeers().size() < StoreRole.MAX_ENTRIES_WITHOUT_LEADER) {
			return Set.of();
		}
		return loadReportReceivers().stream()
			.map(EntryInfo::name)
			.filter((name) -> this.linkedNames.contains(name) && !this.leavingNames.contains(name))
			.collect(Collectors.toSet());
	}

	/**
	 * Returns whether this entry is the relay of its failure domain: the first by
	 * rendezvous hashing among the live entries there.
	 */
	boolean isRelay() {
		return this.isRelay.get();
	}

	private boolean computeIsRelay() {
		List<String> peers = failureDomainPeers().stream()
			.map(EntryInfo::name)
			.filter((name) -> !this.leavingNames.contains(name))
			.toList();
		return RendezvousHashing.isAmongFirst(this.self.name(), peers, this.self.failureDomain(), 1);
	}

	/**
	 * Returns a registration to remove, whose entry has been unreachable for too long.
	 * Only the first by name among the live entries near by returns one, so that it is
	 * removed once.
	 */
	Optional<Registration> expiredRegistration(long nowNanos) {
		List<EntryInfo> peers = scopedByFailureDomain() ? failureDomainPeers() : livePeers();
		if (peers.stream().anyMatch((info) -> info.name().compareTo(this.self.name()) < 0)) {
			return Optional.empty();
		}
		Set<String> targets = linkTargets().stream().map(EntryInfo::name).collect(Collectors.toSet());
		return this.registered.values()
			.stream()
			.filter((entry) -> targets.contains(entry.info.name()))
			.filter((entry) -> !this.linkedNames.contains(entry.info.name()))
			.filter((entry) -> nowNanos - entry.unlinkedSinceNanos > EXPIRY_NANOS)
			.findFirst();
	}

	/**
	 * A registration as read from the store.
	 *
	 * @param info the registered entry
	 * @param revision its revision in the store
	 * @param unlinkedSinceNanos since when there is no link to the entry
	 */
	record Registration(EntryInfo info, long revision, long unlinkedSinceNanos) {
	}

	/** A derived value, computed on first use after each change. */
	private static final class Memoized<T> {

		private final Supplier<T> source;

		private Optional<T> value = Optional.empty();

		private Memoized(Supplier<T> source) {
			this.source = source;
		}

		private T get() {
			if (this.value.isEmpty()) {
				this.value = Optional.of(this.source.get());
			}
			return this.value.get();
		}

		private void invalidate() {
			this.value = Optional.empty();
		}

	}

}
