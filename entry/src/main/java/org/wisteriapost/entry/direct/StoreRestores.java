package org.wisteriapost.entry.direct;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * Notices when the site's store was restored from a copy. Confined to the state thread.
 *
 * Whoever learns of a later epoch first, by its own read or from a peer, tells all its
 * watches: a watch that waits at the store or stands at a revision that was given out
 * again would not notice for seconds.
 */
final class StoreRestores {

	private final StoreWatches watches;

	private final Dispatcher dispatcher;

	private final SiteView localView;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	private long epoch = ObjectStore.UNKNOWN_EPOCH;

	StoreRestores(StoreWatches watches, Dispatcher dispatcher, SiteView localView, DecisionLog log,
			DirectMetrics metrics) {
		this.watches = watches;
		this.dispatcher = dispatcher;
		this.localView = localView;
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Handles an epoch that the store or a peer has stated.
	 */
	void observed(long stated, long nowNanos) {
		if (stated <= this.epoch) {
			return;
		}
		boolean restored = this.epoch != ObjectStore.UNKNOWN_EPOCH;
		this.log.decision(restored ? "store-restored" : "store-epoch", "epoch", stated, "before", this.epoch);
		this.epoch = stated;
		this.metrics.storeEpoch(stated);
		this.watches.epochObserved(stated);
		this.localView.storeRestored(nowNanos);
		if (restored) {
			this.dispatcher.departures().storeRestored(nowNanos);
			this.dispatcher.evacuated().storeRestored(nowNanos);
		}
	}

	/**
	 * Returns the latest epoch, or {@link ObjectStore#UNKNOWN_EPOCH}.
	 */
	long epoch() {
		return this.epoch;
	}

}
