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
import org.wisteriapost.policy.fleet.NamedWeights;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.RejectionGuard;
import org.wisteriapost.policy.routing.RejectionPermit;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.protocol.site.Declared;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * This entry's local view of its site, built from the objects in the store. Confined to
 * the state thread.
 */
final class SiteBeliefs {

	private final Dispatcher dispatcher;

	private final EntryRoster registry;

	private final Announcer notifier;

	private final DecisionLog log;

	private final Set<Kind> knownKinds = EnumSet.noneOf(Kind.class);

	private final RejectionGuard rejectionGuard;

	private Optional<RouteTable> table = Optional.empty();

	/**
	 * Creates an empty view.
	 * @param activationDelay the activation delay of declarations
	 */
	SiteBeliefs(Dispatcher dispatcher, EntryRoster registry, Announcer notifier, DecisionLog log,
			Duration activationDelay) {
		this.dispatcher = dispatcher;
		this.registry = registry;
		this.notifier = notifier;
		this.log = log;
		this.rejectionGuard = RejectionGuard.of(activationDelay);
	}

	/**
	 * Returns the active route table.
	 */
	Optional<RouteTable> table() {
		return this.table;
	}

	/**
	 * Returns the version of the active route table; -1 for none.
	 */
	long version() {
		return this.table.map(RouteTable::version).orElse(-1L);
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
	OptionalLong tableAgeMillis(long now) {
		OptionalLong age = this.rejectionGuard.ageNanos(now);
		return age.isPresent() ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(age.getAsLong())) : age;
	}

	/**
	 * Records the time as of which the routes are known to match the store.
	 */
	void confirmed(long confirmedNanos) {
		this.rejectionGuard.confirmed(confirmedNanos);
	}

	/**
	 * Handles a suspension of this VM: the routes are staler than the monotonic clock
	 * shows.
	 */
	void suspended(long now) {
		this.rejectionGuard.doubt(now);
	}

	/**
	 * Returns whether enough is known to serve callers.
	 */
	boolean complete() {
		return this.table.isPresent() && this.knownKinds.contains(Kind.RUNNERS);
	}

	/**
	 * Returns whether all kinds were read.
	 */
	boolean whole() {
		return this.knownKinds.size() == Kind.values().length;
	}

	/**
	 * Replaces all objects of a kind.
	 */
	void all(Kind kind, List<ObjectStore.Item> items, long now) {
		boolean first = this.knownKinds.add(kind);
		switch (kind) {
			case ROUTES, WEIGHTS ->
				items.forEach((item) -> item.value().ifPresent((value) -> applyDeclared(value, first, now)));
			case RUNNERS -> {
				applyRunners(items, now);
				this.notifier.changed();
			}
			case ENTRIES -> {
				Set<String> names = new HashSet<>();
				items.forEach((item) -> {
					names.add(item.name());
					applyEntry(item, now);
				});
				this.registry.retain(names);
				this.notifier.changed();
			}
		}
	}

	private void applyRunners(List<ObjectStore.Item> items, long now) {
		List<RunnerInfo> infos = items.stream()
			.flatMap((item) -> item.value().stream())
			.filter(Declared.Runner.class::isInstance)
			.map((value) -> ((Declared.Runner) value).info())
			.toList();
		this.dispatcher.runners(infos, now);
		this.log.decision("runners-read", "count", infos.size());
	}

	/**
	 * Applies a change of one object.
	 */
	void changed(Kind kind, ObjectStore.Change change, long now) {
		if (change.deleted()) {
			applyRemoval(kind, change.item().name(), now);
			return;
		}
		if (kind == Kind.ENTRIES) {
			applyEntry(change.item(), now);
			this.notifier.changed();
			return;
		}
		change.item().value().ifPresent((value) -> applyDeclared(value, false, now));
		if (kind == Kind.RUNNERS && change.item().value().isEmpty()) {
			// Overwritten by another writer: no runner until the runner registers
			// again.
			this.log.decision("runner-unreadable", "runner", change.item().name());
			this.dispatcher.runnerUnusable(change.item().name());
			this.notifier.changed();
		}
	}

	private void applyRemoval(Kind kind, String name, long now) {
		switch (kind) {
			case RUNNERS -> {
				this.log.decision("runner-removed", "runner", name);
				this.dispatcher.runnerRemoved(name, now);
				this.notifier.changed();
			}
			case ENTRIES -> {
				this.registry.remove(name);
				this.notifier.changed();
			}
			case ROUTES, WEIGHTS -> {
				// A declaration stays active until a newer one replaces it.
			}
		}
	}

	private void applyDeclared(Declared value, boolean foundAtStartup, long now) {
		switch (value) {
			case Declared.Routes routes -> applyRoutes(routes.table());
			case Declared.Weights weights -> applyTargetWeights(weights.named(), foundAtStartup, now);
			case Declared.Runner runner -> applyRunner(runner.info(), now);
			case Declared.Entry entry -> {
				// Applied with its revision by applyEntry.
			}
		}
	}

	private void applyRunner(RunnerInfo info, long now) {
		if (this.dispatcher.runner(info, now)) {
			this.log.decision("runner-changed", "runner", info.id(), "address", info.address(), "service",
					info.service(), "draining", info.draining(), "models", info.models());
			this.notifier.changed();
		}
	}

	// A lagging listing must not restore a removed route or token.
	private void applyRoutes(RouteTable newTable) {
		if (this.table.isPresent() && this.table.get().version() >= newTable.version()) {
			return;
		}
		this.table = Optional.of(newTable);
		this.log.decision("table-in-force", "version", newTable.version());
		this.dispatcher.table(newTable);
		this.notifier.notifyAgents(this.table);
	}

	private void applyTargetWeights(NamedWeights weights, boolean foundAtStartup, long now) {
		this.dispatcher.named(weights, foundAtStartup, now);
		if (this.notifier.updateTargetVersion(weights)) {
			this.log.decision("weights-named", "model", weights.model(), "version", weights.version());
			this.notifier.notifyAgents(this.table);
		}
	}

	private void applyEntry(ObjectStore.Item item, long now) {
		if (item.value().isPresent() && item.value().get() instanceof Declared.Entry entry) {
			this.registry.put(entry.info(), item.revision(), now);
		}
	}

}
