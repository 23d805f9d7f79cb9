package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.TargetWeights;
import org.wisteriapost.policy.routing.RejectionGuard;
import org.wisteriapost.policy.routing.RejectionPermit;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.policy.routing.StartupTable;
import org.wisteriapost.protocol.site.DecodedObject;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * This entry's local view of its site, built from the objects in the store. Confined to
 * the state thread.
 */
final class SiteView {

	private final Dispatcher dispatcher;

	private final EntryRegistry registry;

	private final PeerNotifier notifier;

	private final DecisionLog log;

	private final EvacuationUpdates evacuations;

	private final Set<ObjectKind> kinds;

	private final Set<ObjectKind> knownKinds = EnumSet.noneOf(ObjectKind.class);

	private final RejectionGuard rejectionGuard;

	private final StartupTable startupTable = StartupTable.create();

	private Optional<RouteTable> routeTable = Optional.empty();

	private long lastReadTableVersion = -1;

	/**
	 * Creates an empty view.
	 * @param activationDelay the activation delay of declarations
	 * @param kinds the kinds of objects that the site uses
	 */
	SiteView(Dispatcher dispatcher, EntryRegistry registry, PeerNotifier notifier, DecisionLog log,
			Duration activationDelay, EvacuationUpdates evacuations, Set<ObjectKind> kinds) {
		this.dispatcher = dispatcher;
		this.registry = registry;
		this.notifier = notifier;
		this.log = log;
		this.evacuations = evacuations;
		this.kinds = kinds;
		this.rejectionGuard = RejectionGuard.of(activationDelay);
	}

	/**
	 * Returns the active route table.
	 */
	Optional<RouteTable> routeTable() {
		return this.routeTable;
	}

	/**
	 * Returns the version of the active route table; -1 for none.
	 */
	long routeTableVersion() {
		return this.routeTable.map(RouteTable::version).orElse(-1L);
	}

	/**
	 * Returns whether the route table is recent enough to reject a request by it.
	 */
	boolean mayReject(long now) {
		return this.rejectionGuard.allows(now);
	}

	/**
	 * Returns until when requests may be rejected if the routes are not confirmed again.
	 */
	RejectionPermit rejectionPermit(long nowNanos, long nowDayMillis) {
		return this.rejectionGuard.permit(nowNanos, nowDayMillis);
	}

	/**
	 * Returns how long ago the route table was last confirmed as the newest; empty if it
	 * never was.
	 */
	OptionalLong routeTableStalenessMillis(long now) {
		OptionalLong age = this.rejectionGuard.stalenessNanos(now);
		return age.isPresent() ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(age.getAsLong())) : age;
	}

	/**
	 * Records the time as of which the routes are known to match the store. A store that
	 * has an older table than the active one was restored from a copy, and does not know
	 * what was declared since.
	 */
	void routesConfirmed(long confirmedNanos) {
		if (this.lastReadTableVersion >= routeTableVersion()) {
			this.rejectionGuard.confirmed(confirmedNanos);
		}
	}

	/**
	 * Handles a store that was restored from a copy, or is read for the first time.
	 */
	void storeRestored(long now) {
		this.rejectionGuard.storeRestored(now);
	}

	/**
	 * Handles a suspension of this VM: the routes are staler than the monotonic clock
	 * shows.
	 */
	void suspended(long now) {
		this.rejectionGuard.discardBefore(now);
	}

	/**
	 * Applies what is due.
	 */
	void tick(long now) {
		this.evacuations.tick(now);
	}

	/**
	 * Returns whether enough is known to serve callers.
	 */
	boolean isReady(long now) {
		return this.routeTable.isPresent() && !routeTableOutdated(now) && this.knownKinds.contains(ObjectKind.RUNNERS)
				&& evacuationsKnown();
	}

	/**
	 * Returns whether a peer has a newer route table than this entry has read at its
	 * start.
	 */
	boolean routeTableOutdated(long now) {
		return this.startupTable.outdated(now);
	}

	/**
	 * Records the version of the route table that a peer has in force.
	 */
	void peerTableStated(String peer, long version) {
		if (version > routeTableVersion()) {
			this.log.decision("newer-table-stated", "peer", peer, "version", version, "inForce", routeTableVersion());
		}
		this.startupTable.stated(version);
	}

	/**
	 * Returns whether it is known which failure domains are evacuated. Requests sent
	 * before could reach runners in one of them.
	 */
	boolean evacuationsKnown() {
		return !this.kinds.contains(ObjectKind.EVACUATIONS) || this.knownKinds.contains(ObjectKind.EVACUATIONS);
	}

	/**
	 * Returns whether all kinds were read.
	 */
	boolean allKindsKnown() {
		return this.knownKinds.containsAll(this.kinds);
	}

	/**
	 * Replaces all objects of a kind.
	 */
	void replaceAll(ObjectKind kind, List<ObjectStore.Item> items, long now) {
		boolean first = this.knownKinds.add(kind);
		switch (kind) {
			case ROUTES, WEIGHTS ->
				items.forEach((item) -> item.value().ifPresent((value) -> applyDeclared(value, first, now)));
			case EVACUATIONS -> this.evacuations.replaceAll(items, now);
			case RUNNERS -> {
				applyRunners(items, now);
				this.notifier.peersChanged();
			}
			case ENTRIES -> {
				Set<String> names = new HashSet<>();
				items.forEach((item) -> {
					names.add(item.name());
					applyEntry(item, now);
				});
				this.registry.retain(names);
				this.notifier.peersChanged();
			}
		}
	}

	private void applyRunners(List<ObjectStore.Item> items, long now) {
		List<RunnerInfo> infos = items.stream()
			.flatMap((item) -> item.value().stream())
			.filter(DecodedObject.Runner.class::isInstance)
			.map((value) -> ((DecodedObject.Runner) value).info())
			.toList();
		this.dispatcher.replaceRunners(infos, now);
		this.log.decision("runners-read", "count", infos.size());
	}

	/**
	 * Applies a change of one object.
	 */
	void applyChange(ObjectKind kind, ObjectStore.Change change, long now) {
		if (kind == ObjectKind.EVACUATIONS) {
			this.evacuations.applyChange(change, now);
			return;
		}
		if (change.deleted()) {
			applyRemoval(kind, change.item().name(), now);
			return;
		}
		if (kind == ObjectKind.ENTRIES) {
			applyEntry(change.item(), now);
			this.notifier.peersChanged();
			return;
		}
		change.item().value().ifPresent((value) -> applyDeclared(value, false, now));
		if (kind == ObjectKind.RUNNERS && change.item().value().isEmpty()) {
			// Overwritten by another writer: no runner until the runner registers
			// again.
			this.log.decision("runner-unreadable", "runner", change.item().name());
			this.dispatcher.departures().registrationUnusable(change.item().name());
			this.notifier.peersChanged();
		}
	}

	private void applyRemoval(ObjectKind kind, String name, long now) {
		switch (kind) {
			case RUNNERS -> {
				this.log.decision("runner-removed", "runner", name);
				this.dispatcher.departures().registrationRemoved(name, now);
				this.notifier.peersChanged();
			}
			case ENTRIES -> {
				this.registry.remove(name);
				this.notifier.peersChanged();
			}
			case ROUTES, WEIGHTS -> {
				// A declaration stays active until a newer one replaces it.
			}
			case EVACUATIONS -> {
				// Applied with its revision by EvacuationUpdates.
			}
		}
	}

	private void applyDeclared(DecodedObject value, boolean foundAtStartup, long now) {
		switch (value) {
			case DecodedObject.Routes routes -> applyRoutes(routes.table(), now);
			case DecodedObject.Weights weights -> applyTargetWeights(weights.target(), foundAtStartup, now);
			case DecodedObject.Runner runner -> applyRunner(runner.info(), now);
			case DecodedObject.Entry entry -> {
				// Applied with its revision by applyEntry.
			}
			case DecodedObject.Evacuation evacuation -> {
				// Applied with its revision by EvacuationUpdates.
			}
		}
	}

	private void applyRunner(RunnerInfo info, long now) {
		if (this.dispatcher.updateRunner(info, now)) {
			this.log.decision("runner-changed", "runner", info.id(), "address", info.address(), "service",
					info.service(), "draining", info.draining(), "models", info.weightsVersions(), "revision",
					info.revision());
			this.notifier.peersChanged();
		}
	}

	// A lagging listing must not restore a removed route or token.
	private void applyRoutes(RouteTable newTable, long now) {
		this.lastReadTableVersion = newTable.version();
		if (this.routeTable.isPresent() && this.routeTable.get().version() >= newTable.version()) {
			if (this.routeTable.get().version() > newTable.version()) {
				this.log.decision("older-table-read", "version", newTable.version(), "inForce", routeTableVersion());
			}
			return;
		}
		this.routeTable = Optional.of(newTable);
		this.startupTable.inForce(newTable.version(), now);
		this.log.decision("table-in-force", "version", newTable.version());
		this.dispatcher.updateRouteTable(newTable);
		this.notifier.notifyAgents(this.routeTable);
	}

	private void applyTargetWeights(TargetWeights weights, boolean foundAtStartup, long now) {
		this.dispatcher.targetWeightsPublished(weights, foundAtStartup, now);
		if (this.notifier.updateTargetVersion(weights)) {
			this.log.decision("weights-named", "model", weights.model(), "version", weights.version());
			this.notifier.notifyAgents(this.routeTable);
		}
	}

	private void applyEntry(ObjectStore.Item item, long now) {
		if (item.value().isPresent() && item.value().get() instanceof DecodedObject.Entry entry) {
			this.registry.put(entry.info(), item.revision(), now);
		}
	}

}
