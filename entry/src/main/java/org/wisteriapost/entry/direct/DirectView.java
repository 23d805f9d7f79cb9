package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.policy.fleet.CallerEntries;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.routing.CallLimits;

/**
 * What the state thread lets other threads see, and the way to it.
 */
final class DirectView implements DirectPort {

	private static final Snapshot NOTHING = new Snapshot(false, false, List.of(), false, Optional.empty(), false);

	private final CompletableFuture<Void> over = new CompletableFuture<>();

	private volatile Snapshot snapshot = NOTHING;

	private volatile EventLoop<DirectEvent> loop;

	void loop(EventLoop<DirectEvent> to) {
		this.loop = to;
	}

	void publish(boolean ready, boolean leaving, List<EntryInfo> entries, boolean byPlace, Optional<CallLimits> limits,
			boolean mayReject, boolean ended) {
		if (!this.snapshot.is(ready, leaving, entries, byPlace, limits, mayReject)) {
			this.snapshot = new Snapshot(ready, leaving, entries, byPlace, limits, mayReject);
		}
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
		return CallerEntries.choose(now.entries(), place, now.byPlace()).stream().map(EntryInfo::front).toList();
	}

	@Override
	public Optional<CallLimits> limits() {
		return this.snapshot.limits();
	}

	@Override
	public boolean mayReject() {
		return this.snapshot.mayReject();
	}

	private record Snapshot(boolean ready, boolean leaving, List<EntryInfo> entries, boolean byPlace,
			Optional<CallLimits> limits, boolean mayReject) {

		// Asked after every event, so what is the same is found without looking into it.
		private boolean is(boolean isReady, boolean isLeaving, List<EntryInfo> named, boolean isByPlace,
				Optional<CallLimits> declared, boolean isSure) {
			boolean flags = this.ready == isReady && this.leaving == isLeaving && this.byPlace == isByPlace
					&& this.mayReject == isSure;
			return flags && this.entries == named && this.limits.orElse(null) == declared.orElse(null);
		}

	}

}
