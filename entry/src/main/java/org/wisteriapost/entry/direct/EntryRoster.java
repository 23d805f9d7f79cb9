package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wisteriapost.policy.fleet.EntryInfo;

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

	EntryRoster(EntryInfo self) {
		this.self = self;
	}

	void put(EntryInfo info, long revision, long nowNanos) {
		Registered before = this.registered.get(info.name());
		if (before == null || before.info.started() != info.started()) {
			this.leaving.remove(info.name());
			this.registered.put(info.name(), new Registered(info, revision, nowNanos));
			return;
		}
		this.registered.put(info.name(), new Registered(info, revision, before.downSinceNanos));
	}

	void remove(String name) {
		this.registered.remove(name);
	}

	void keep(Set<String> names) {
		this.registered.keySet().retainAll(names);
	}

	void linked(String name, boolean up, long nowNanos) {
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
		this.leaving.add(name);
	}

	/**
	 * Returns the other registered entries.
	 */
	List<EntryInfo> others() {
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
		return own != null && own.info.started() == this.self.started();
	}

	/**
	 * Returns the addresses that callers are told of.
	 * @param self whether this entry is one of them
	 */
	List<String> addresses(boolean self) {
		List<String> addresses = new ArrayList<>();
		if (self) {
			addresses.add(this.self.front());
		}
		others().stream()
			.filter((info) -> this.linked.contains(info.name()) && !this.leaving.contains(info.name()))
			.map(EntryInfo::front)
			.sorted()
			.forEach(addresses::add);
		return addresses;
	}

	/**
	 * Returns how many entries share the budgets: those alive, and this one.
	 */
	int alive() {
		return (int) others().stream().filter((info) -> this.linked.contains(info.name())).count() + 1;
	}

	/**
	 * Returns a registration to remove: its entry has long been dead, and this entry is
	 * the first by name of those alive, so that one removes it and not all.
	 */
	Optional<Registered> dead(long nowNanos) {
		boolean first = others().stream()
			.filter((info) -> this.linked.contains(info.name()))
			.allMatch((info) -> info.name().compareTo(this.self.name()) > 0);
		if (!first) {
			return Optional.empty();
		}
		return this.registered.values()
			.stream()
			.filter((entry) -> !entry.info.name().equals(this.self.name()))
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

}
