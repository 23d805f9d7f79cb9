package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.policy.fleet.AdvertisedEntries;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.RejectionPermit;

/**
 * What the state thread lets other threads see, and the way to it.
 */
final class DirectView implements DirectPort {

	private static final Snapshot NOTHING = new Snapshot(false, false, List.of(), false, Optional.empty(),
			RejectionPermit.NONE);

	private final CompletableFuture<Void> over = new CompletableFuture<>();

	private volatile Snapshot snapshot = NOTHING;

	private final DirectClock clock;

	private volatile EventLoop<DirectEvent> loop;

	DirectView(DirectClock clock) {
		this.clock = clock;
	}

	void loop(EventLoop<DirectEvent> to) {
		this.loop = to;
	}

	void publish(boolean ready, boolean leaving, List<EntryInfo> entries, boolean byPlace, Optional<CallLimits> limits,
			RejectionPermit rejections, boolean ended) {
		this.snapshot = new Snapshot(ready, leaving, entries, byPlace, limits, rejections);
		if (ended) {
			this.over.complete(null);
		}
	}

	/**
	 * Returns what completes when the entry has left.
	 */
	CompletableFuture<Void> over() {
		return this.over;
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
	public List<String> addresses(Optional<String> place) {
		Snapshot now = this.snapshot;
		return AdvertisedEntries.select(now.entries(), place, now.byPlace())
			.stream()
			.map(EntryInfo::callerAddress)
			.toList();
	}

	@Override
	public Optional<CallLimits> limits() {
		return this.snapshot.limits();
	}

	@Override
	public boolean mayReject() {
		return this.snapshot.rejections().allows(this.clock.nanos().getAsLong(), this.clock.dayMillis().getAsLong());
	}

	private record Snapshot(boolean ready, boolean leaving, List<EntryInfo> entries, boolean byPlace,
			Optional<CallLimits> limits, RejectionPermit rejections) {
	}

}
