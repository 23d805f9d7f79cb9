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
import org.wisteriapost.protocol.site.Declared;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * What an entry believes of its site, from what the store says. Used by the state thread
 * alone.
 */
final class SiteBeliefs {

	private final Dispatcher dispatcher;

	private final EntryRoster roster;

	private final Announcer announcer;

	private final DecisionLog log;

	private final Set<Kind> read = EnumSet.noneOf(Kind.class);

	private final RejectionGuard guard;

	private Optional<RouteTable> table = Optional.empty();

	/**
	 * Returns the beliefs of one entry, which knows nothing.
	 * @param declaredInForce from a declaration until it binds
	 */
	SiteBeliefs(Dispatcher dispatcher, EntryRoster roster, Announcer announcer, DecisionLog log,
			Duration declaredInForce) {
		this.dispatcher = dispatcher;
		this.roster = roster;
		this.announcer = announcer;
		this.log = log;
		this.guard = RejectionGuard.of(declaredInForce);
	}

	/**
	 * Returns the declared routes in force.
	 */
	Optional<RouteTable> table() {
		return this.table;
	}

	/**
	 * Returns the version of the declared routes in force; -1 for none.
	 */
	long version() {
		return this.table.map(RouteTable::version).orElse(-1L);
	}

	/**
	 * Returns whether the table is recent enough to call a request wrong by it.
	 */
	boolean mayReject(long now) {
		return this.guard.allows(now);
	}

	/**
	 * Returns until when that is so if nothing more is heard.
	 */
	RejectionPermit rejectionPermit(long nowNanos, long nowDayMillis) {
		return this.guard.permit(nowNanos, nowDayMillis);
	}

	/**
	 * Returns how long ago the table was last known to be the newest; empty when it never
	 * was.
	 */
	OptionalLong tableAgeMillis(long now) {
		OptionalLong age = this.guard.stalenessNanos(now);
		return age.isPresent() ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(age.getAsLong())) : age;
	}

	/**
	 * Hears that the routes are known as the store had them at some moment.
	 */
	void confirmed(long asOfNanos) {
		this.guard.confirmed(asOfNanos);
	}

	/**
	 * Hears that this VM was suspended: what is known is older than it seems.
	 */
	void suspended(long now) {
		this.guard.discardBefore(now);
	}

	/**
	 * Returns whether enough is known to answer callers.
	 */
	boolean complete() {
		return this.table.isPresent() && this.read.contains(Kind.RUNNERS);
	}

	/**
	 * Returns whether all kinds have been read.
	 */
	boolean whole() {
		return this.read.size() == Kind.values().length;
	}

	/**
	 * Hears all objects of a kind.
	 */
	void all(Kind kind, List<ObjectStore.Item> items, long now) {
		boolean first = this.read.add(kind);
		switch (kind) {
			case ROUTES, WEIGHTS ->
				items.forEach((item) -> item.value().ifPresent((value) -> declared(value, first, now)));
			case RUNNERS -> {
				runners(items, now);
				this.announcer.changed();
			}
			case ENTRIES -> {
				Set<String> names = new HashSet<>();
				items.forEach((item) -> {
					names.add(item.name());
					entry(item, now);
				});
				this.roster.keep(names);
				this.announcer.changed();
			}
		}
	}

	private void runners(List<ObjectStore.Item> items, long now) {
		List<RunnerInfo> infos = items.stream()
			.flatMap((item) -> item.value().stream())
			.filter(Declared.Runner.class::isInstance)
			.map((value) -> ((Declared.Runner) value).info())
			.toList();
		this.dispatcher.replaceRunners(infos, now);
		this.log.decision("runners-read", "count", infos.size());
	}

	/**
	 * Hears of one object.
	 */
	void changed(Kind kind, ObjectStore.Change change, long now) {
		if (change.deleted()) {
			removed(kind, change.item().name(), now);
			return;
		}
		if (kind == Kind.ENTRIES) {
			entry(change.item(), now);
			this.announcer.changed();
			return;
		}
		change.item().value().ifPresent((value) -> declared(value, false, now));
		if (kind == Kind.RUNNERS && change.item().value().isEmpty()) {
			// Written over by somebody else: it names no runner until the runner writes
			// anew.
			this.log.decision("runner-unreadable", "runner", change.item().name());
			this.dispatcher.removeUnusableRunner(change.item().name());
			this.announcer.changed();
		}
	}

	private void removed(Kind kind, String name, long now) {
		switch (kind) {
			case RUNNERS -> {
				this.log.decision("runner-removed", "runner", name);
				this.dispatcher.registrationRemoved(name, now);
				this.announcer.changed();
			}
			case ENTRIES -> {
				this.roster.remove(name);
				this.announcer.changed();
			}
			case ROUTES, WEIGHTS -> {
				// What was declared stays in force until something newer is.
			}
		}
	}

	private void declared(Declared value, boolean found, long now) {
		switch (value) {
			case Declared.Routes routes -> routes(routes.table());
			case Declared.Weights weights -> weights(weights.named(), found, now);
			case Declared.Runner runner -> runner(runner.info(), now);
			case Declared.Entry entry -> {
				// Read with its revision, see entry.
			}
		}
	}

	private void runner(RunnerInfo info, long now) {
		if (this.dispatcher.updateRunner(info, now)) {
			this.log.decision("runner-changed", "runner", info.id(), "address", info.address(), "service",
					info.service(), "draining", info.draining(), "models", info.weightsVersions());
			this.announcer.changed();
		}
	}

	// A listing that lags must not bring a dropped route or token back.
	private void routes(RouteTable newer) {
		if (this.table.isPresent() && this.table.get().version() >= newer.version()) {
			return;
		}
		this.table = Optional.of(newer);
		this.log.decision("table-in-force", "version", newer.version());
		this.dispatcher.updateRouteTable(newer);
		this.announcer.tellAgents(this.table);
	}

	private void weights(TargetWeights weights, boolean found, long now) {
		this.dispatcher.targetWeightsPublished(weights, found, now);
		if (this.announcer.named(weights)) {
			this.log.decision("weights-named", "model", weights.model(), "version", weights.version());
			this.announcer.tellAgents(this.table);
		}
	}

	private void entry(ObjectStore.Item item, long now) {
		if (item.value().isPresent() && item.value().get() instanceof Declared.Entry entry) {
			this.roster.put(entry.info(), item.revision(), now);
		}
	}

}
