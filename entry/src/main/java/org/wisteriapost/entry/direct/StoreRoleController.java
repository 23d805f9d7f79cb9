package org.wisteriapost.entry.direct;

import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;

/**
 * Executes the decisions of {@link StoreRole}. Confined to the state thread.
 */
final class StoreRoleController {

	private final StoreRole role;

	private final StoreReplication replication;

	private final StoreWatches watches;

	private final BiConsumer<String, Frame> sender;

	private final DecisionLog log;

	// Kinds of which a read was discarded that has not been repeated.
	private final Set<ObjectKind> discardedKinds = EnumSet.noneOf(ObjectKind.class);

	// Kinds that this follower reads itself, since its leader does not send them.
	private Set<ObjectKind> ownKinds = Set.of();

	private boolean hasSubscribers;

	/**
	 * Creates the controller of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	StoreRoleController(StoreRole role, StoreReplication replication, StoreWatches watches,
			BiConsumer<String, Frame> sender, DecisionLog log) {
		this.role = role;
		this.replication = replication;
		this.watches = watches;
		this.sender = sender;
		this.log = log;
	}

	/**
	 * Returns whether this entry is a follower, which receives the store from a leader.
	 */
	boolean isFollower() {
		return this.role.isFollower();
	}

	/**
	 * Returns whether what this entry itself has read of a kind is discarded, since it is
	 * a follower.
	 */
	boolean discardsReads(ObjectKind kind) {
		return isFollower() && !this.ownKinds.contains(kind);
	}

	/**
	 * Handles a read that was discarded because it completed too late. The watch resumes
	 * behind it later and would not read it again.
	 */
	void readDiscarded(ObjectKind kind) {
		this.discardedKinds.add(kind);
		this.watches.requireListing(kind);
	}

	/**
	 * Handles a listing that was applied.
	 */
	void listingApplied(ObjectKind kind) {
		this.discardedKinds.remove(kind);
	}

	/**
	 * Returns whether a read of the store confirms the objects of a kind that are known
	 * here. A follower discards what it reads, and the confirmation of a discarded read
	 * may arrive only after the leader was lost.
	 */
	boolean confirms(ObjectKind kind) {
		return !discardsReads(kind) && !this.discardedKinds.contains(kind);
	}

	/**
	 * Executes the steps that are due.
	 * @param group the entries that share a leader with this one
	 * @param complete whether this entry has read all kinds
	 */
	void tick(Collection<String> group, boolean complete, long nowNanos) {
		execute(this.role.tick(group, complete && this.replication.mayStopReading(), nowNanos));
		readKindsNotSent();
		if (this.replication.hasSubscribers() != this.hasSubscribers) {
			this.hasSubscribers = this.replication.hasSubscribers();
			this.watches.setHasSubscribers(this.hasSubscribers);
		}
	}

	// A leader of an older version does not send each kind. While a leader's state is
	// incomplete, nothing is changed: it may only have been asked.
	private void readKindsNotSent() {
		Set<ObjectKind> wanted = this.replication.kindsNotSent().orElse(this.ownKinds);
		if (!isFollower() || wanted.equals(this.ownKinds)) {
			return;
		}
		this.log.decision("kinds-not-sent-by-leader", "read", wanted);
		Set<ObjectKind> before = this.ownKinds;
		this.ownKinds = wanted;
		before.stream().filter((kind) -> !wanted.contains(kind)).forEach(this.watches::pause);
		wanted.stream().filter((kind) -> !before.contains(kind)).forEach(this::resume);
	}

	private void resume(ObjectKind kind) {
		this.watches.resume(kind, this.replication.epoch(kind), this.replication.knownRevision(kind));
	}

	/**
	 * Applies an update of a peer and returns the changes as if they were read from the
	 * store.
	 */
	List<DirectEvent> updateReceived(String peer, News update, long nowNanos) {
		List<DirectEvent> changes = this.replication.updateReceived(peer, update);
		this.replication.routesConfirmedNanos(peer).ifPresent((asOf) -> this.role.routesConfirmed(peer, asOf));
		if (this.role.acceptsUpdatesFrom(peer)) {
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
			execute(this.role.followerStatusReceived(peer, agoNanos, nowNanos));
		}
		else if (updatesComplete || !current || !this.role.hasLeader()) {
			execute(this.role.statusReceived(peer, current, updatesComplete, nowNanos));
		}
	}

	private void execute(List<StoreRole.Step> steps) {
		for (StoreRole.Step step : steps) {
			this.log.decision("store-duty", "step", step);
			switch (step) {
				case StoreRole.Step.Ask ask -> this.sender.accept(ask.entry(), this.replication.subscribe(ask.entry()));
				case StoreRole.Step.Dismiss dismiss -> this.replication.unsubscribeUnlessAccepted(dismiss.entry());
				case StoreRole.Step.Rest rest -> {
					this.replication.stopReading();
					this.watches.pause();
					this.ownKinds = Set.of();
				}
				case StoreRole.Step.Read read -> {
					this.watches.kinds().forEach(this::resume);
					this.ownKinds = Set.of();
				}
			}
		}
	}

}
