package org.wisteriapost.entry.direct;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.StoreDuty;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;

/**
 * Executes the decisions of {@link StoreDuty}. Confined to the state thread.
 */
final class StoreReading {

	private final StoreDuty role;

	private final SiteNews replication;

	private final Following watches;

	private final BiConsumer<String, Frame> sender;

	private final DecisionLog log;

	private boolean hasSubscribers;

	/**
	 * Creates the controller of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	StoreReading(StoreDuty role, SiteNews replication, Following watches, BiConsumer<String, Frame> sender,
			DecisionLog log) {
		this.role = role;
		this.replication = replication;
		this.watches = watches;
		this.sender = sender;
		this.log = log;
	}

	/**
	 * Returns whether this entry is a follower, which receives the store from a leader.
	 */
	boolean rests() {
		return this.role.rests();
	}

	/**
	 * Handles a read that was discarded because it completed too late. The watch resumes
	 * behind it later and would not read it again.
	 */
	void missed(Kind kind) {
		this.watches.requireListing(kind);
	}

	/**
	 * Executes the steps that are due.
	 * @param group the entries that share a leader with this one
	 * @param complete whether this entry has read all kinds
	 */
	void tick(Collection<String> group, boolean complete, long nowNanos) {
		execute(this.role.tick(group, complete && this.replication.mayStopReading(), nowNanos));
		if (this.replication.hasSubscribers() != this.hasSubscribers) {
			this.hasSubscribers = this.replication.hasSubscribers();
			this.watches.setHasSubscribers(this.hasSubscribers);
		}
	}

	/**
	 * Applies an update of a peer and returns the changes as if they were read from the
	 * store.
	 */
	List<DirectEvent> heard(String peer, News update, long nowNanos) {
		List<DirectEvent> changes = this.replication.updateReceived(peer, update);
		this.replication.asOfNanos(peer).ifPresent((asOf) -> this.role.knownAsOf(peer, asOf));
		if (this.role.believes(peer)) {
			applyLeaderStatus(peer, update, nowNanos);
		}
		return changes;
	}

	// Heartbeats after a lost frame prove nothing. A follower takes a leader whose
	// updates stay incomplete for silent and reads the store itself: otherwise it would
	// keep a stale table.
	private void applyLeaderStatus(String peer, News update, long nowNanos) {
		boolean current = update.getCurrent();
		boolean updatesComplete = this.replication.isComplete(peer);
		if (!current && update.hasHeardAgoMillis()) {
			long agoNanos = TimeUnit.MILLISECONDS.toNanos(update.getHeardAgoMillis());
			execute(this.role.heardResting(peer, agoNanos, nowNanos));
		}
		else if (updatesComplete || !current || !this.role.settled()) {
			execute(this.role.heard(peer, current, updatesComplete, nowNanos));
		}
	}

	private void execute(List<StoreDuty.Step> steps) {
		for (StoreDuty.Step step : steps) {
			this.log.decision("store-duty", "step", step);
			switch (step) {
				case StoreDuty.Step.Ask ask -> this.sender.accept(ask.entry(), this.replication.subscribe(ask.entry()));
				case StoreDuty.Step.Dismiss dismiss -> this.replication.unsubscribeUnlessAccepted(dismiss.entry());
				case StoreDuty.Step.Rest rest -> {
					this.replication.stopReading();
					this.watches.pause();
				}
				case StoreDuty.Step.Read read -> this.watches.resume(this.replication::knownRevision);
			}
		}
	}

}
