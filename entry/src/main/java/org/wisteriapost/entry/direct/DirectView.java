package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.policy.fleet.AdvertisedEntries;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.region.AllowedRegions;
import org.wisteriapost.policy.region.DirectoryQuery;
import org.wisteriapost.policy.region.RegionalEntries;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.RejectionPermit;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * The state that the state thread publishes to other threads, and access to its event
 * loop.
 */
final class DirectView implements EntryHandle {

	private static final Snapshot INITIAL = new Snapshot(false, false, List.of(), false, Optional.empty(),
			RejectionPermit.NONE);

	private final CompletableFuture<Void> termination = new CompletableFuture<>();

	private final OpenAnswers openAnswers = new OpenAnswers();

	private volatile Snapshot snapshot = INITIAL;

	private final EntryClocks clocks;

	private volatile EventLoop<DirectEvent> loop;

	DirectView(EntryClocks clocks) {
		this.clocks = clocks;
	}

	void loop(EventLoop<DirectEvent> to) {
		this.loop = to;
	}

	void publish(boolean ready, boolean leaving, List<EntryInfo> entries, boolean scopedByFailureDomain,
			Optional<RouteTable> routeTable, RejectionPermit rejectionPermit, boolean mayExit) {
		this.snapshot = new Snapshot(ready, leaving, entries, scopedByFailureDomain, routeTable, rejectionPermit);
		if (mayExit) {
			this.termination.complete(null);
		}
	}

	/**
	 * Returns a future that completes when the process may exit.
	 */
	CompletableFuture<Void> termination() {
		return this.termination;
	}

	@Override
	public boolean offer(DirectEvent event) {
		return this.loop.offer(event);
	}

	@Override
	public void put(DirectEvent event) {
		this.loop.put(event);
	}

	@Override
	public boolean ready() {
		return this.snapshot.ready();
	}

	@Override
	public boolean leaving() {
		return this.snapshot.leaving();
	}

	@Override
	public List<String> addresses(DirectoryQuery query) {
		Snapshot current = this.snapshot;
		AllowedRegions allowed = query.host()
			.flatMap((host) -> current.routeTable().map((table) -> table.allowedRegions(host)))
			.orElse(AllowedRegions.ANY);
		List<EntryInfo> regional = RegionalEntries.select(current.entries(), allowed, query);
		return AdvertisedEntries.select(regional, query.failureDomain(), current.scopedByFailureDomain())
			.stream()
			.map(EntryInfo::callerAddress)
			.toList();
	}

	@Override
	public Optional<CallLimits> limits() {
		return this.snapshot.routeTable().map(RouteTable::limits);
	}

	@Override
	public OpenAnswers openAnswers() {
		return this.openAnswers;
	}

	@Override
	public boolean mayReject() {
		return this.snapshot.rejectionPermit()
			.allows(this.clocks.monotonicNanos().getAsLong(), this.clocks.wallMillis().getAsLong());
	}

	private record Snapshot(boolean ready, boolean leaving, List<EntryInfo> entries, boolean scopedByFailureDomain,
			Optional<RouteTable> routeTable, RejectionPermit rejectionPermit) {
	}

}
