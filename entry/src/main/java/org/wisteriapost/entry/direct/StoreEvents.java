package org.wisteriapost.entry.direct;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.NewsRequest;

/**
 * Handles what this entry learns of the site's store, by its own reads and from other
 * entries. Confined to the state thread.
 */
final class StoreEvents {

	private final Dispatcher dispatcher;

	private final SiteView localView;

	private final DecisionLog log;

	private Optional<StoreReplication> updates = Optional.empty();

	private Optional<StoreRoleController> storeReading = Optional.empty();

	private Optional<StoreRestores> restores = Optional.empty();

	StoreEvents(Dispatcher dispatcher, SiteView localView, DecisionLog log) {
		this.dispatcher = dispatcher;
		this.localView = localView;
		this.log = log;
	}

	/**
	 * Sets what reads the store and exchanges it with other entries.
	 */
	void connect(StoreReplication replication, StoreRoleController reading, StoreRestores storeRestores) {
		this.updates = Optional.of(replication);
		this.storeReading = Optional.of(reading);
		this.restores = Optional.of(storeRestores);
	}

	/**
	 * Subscribes and changes this entry's role as it is due.
	 * @param linked the linked entries
	 * @param leaderGroup the entries that share a leader with this one
	 */
	void tick(Collection<LinkedEntry> linked, Set<String> leaderGroup, long now) {
		this.updates.ifPresent((replication) -> replication.tick(linked, now));
		this.storeReading.ifPresent((reading) -> reading.tick(leaderGroup, this.localView.allKindsKnown(), now));
	}

	/**
	 * Handles a suspension of this VM.
	 */
	void suspended(long now) {
		this.updates.ifPresent((replication) -> replication.suspended(now));
	}

	/**
	 * Handles a new link to another entry.
	 */
	void linkEstablished(String peer) {
		this.updates.ifPresent((replication) -> replication.linkEstablished(peer));
	}

	/**
	 * Handles a watch that was lost, so that what subscribers receive may be stale.
	 */
	void watchLost() {
		this.updates.ifPresent(StoreReplication::dismissSubscribers);
	}

	/**
	 * Handles the epoch to which this entry's next reads of a kind belong.
	 */
	void epochRead(DirectEvent.StoreEpochRead read, long now) {
		this.updates.ifPresent((updates) -> updates.epochRead(read.kind(), read.epoch()));
		epochObserved(read.epoch(), now);
	}

	/**
	 * Returns whether the store states epochs, so that it may come back from a copy.
	 */
	boolean storeStatesEpochs() {
		return this.restores.filter((known) -> known.epoch() != ObjectStore.UNKNOWN_EPOCH).isPresent();
	}

	private void epochObserved(long epoch, long now) {
		this.restores.ifPresent((known) -> known.observed(epoch, now));
	}

	/**
	 * Handles a listing. What was read while this entry became a follower is discarded:
	 * it is older than what the leader sends.
	 */
	void objectsListed(DirectEvent.ObjectsListed listed, long now) {
		if (discardsReads(listed.kind())) {
			discarded(listed.kind());
			return;
		}
		boolean current = this.updates
			.map((updates) -> updates.applyFromStore(listed.kind(), listed.items(), listed.revision()))
			.orElse(true);
		if (current) {
			this.storeReading.ifPresent((reading) -> reading.listingApplied(listed.kind()));
			this.localView.replaceAll(listed.kind(), listed.items(), now);
		}
	}

	/**
	 * Handles a change of an object.
	 */
	void objectChanged(ObjectKind kind, ObjectStore.Change change, long now) {
		if (discardsReads(kind)) {
			discarded(kind);
		}
		else if (this.updates.map((updates) -> updates.applyFromStore(kind, change)).orElse(true)) {
			this.localView.applyChange(kind, change, now);
		}
	}

	private void discarded(ObjectKind kind) {
		this.storeReading.ifPresent((reading) -> reading.readDiscarded(kind));
	}

	private boolean discardsReads(ObjectKind kind) {
		return this.storeReading.map((reading) -> reading.discardsReads(kind)).orElse(false);
	}

	/**
	 * Returns whether this entry is a follower, which receives the store from a leader.
	 */
	boolean isFollower() {
		return this.storeReading.map(StoreRoleController::isFollower).orElse(false);
	}

	/**
	 * Handles whether the store answers.
	 */
	void reachabilityChanged(DirectEvent.StoreReachability reachable, long now) {
		this.log.decision("store", "kind", reachable.kind(), "reachable", reachable.reachable());
		if (reachable.kind() == ObjectKind.RUNNERS) {
			this.dispatcher.departures().storeReachable(reachable.reachable(), now);
			this.updates.ifPresent((updates) -> updates.storeReachable(reachable.reachable()));
		}
	}

	/**
	 * Handles a confirmation of what is known of the store.
	 */
	void confirmed(DirectEvent.StoreConfirmed confirmed) {
		boolean confirms = this.storeReading.map((reading) -> reading.confirms(confirmed.kind())).orElse(true)
				&& !readsBeforeRestore(confirmed.kind());
		if (confirmed.kind() == ObjectKind.ROUTES && confirms) {
			this.localView.routesConfirmed(confirmed.asOfNanos());
			this.updates.ifPresent((updates) -> updates.routesConfirmed(confirmed.asOfNanos()));
		}
	}

	private boolean readsBeforeRestore(ObjectKind kind) {
		long latest = this.restores.map(StoreRestores::epoch).orElse(ObjectStore.UNKNOWN_EPOCH);
		return this.updates.map((updates) -> updates.readsBefore(kind, latest)).orElse(false);
	}

	/**
	 * Applies state updates that another entry forwards.
	 */
	void peerUpdated(DirectEvent.PeerStateUpdated received, long now) {
		epochObserved(received.update().getEpoch(), now);
		List<DirectEvent> applied = this.storeReading
			.map((reading) -> reading.updateReceived(received.peer(), received.update(), now))
			.orElse(List.of());
		if (!applied.isEmpty()) {
			this.dispatcher.departures().storeReachable(true, now);
		}
		for (DirectEvent one : applied) {
			switch (one) {
				case DirectEvent.ObjectsListed listed -> this.localView.replaceAll(listed.kind(), listed.items(), now);
				case DirectEvent.ObjectChanged change ->
					this.localView.applyChange(change.kind(), change.change(), now);
				default -> throw new IllegalStateException("unexpected event from the store: " + one);
			}
		}
		this.updates.map(StoreReplication::routesConfirmedNanos)
			.orElse(OptionalLong.empty())
			.ifPresent(this.localView::routesConfirmed);
	}

	/**
	 * Handles another entry's request for updates.
	 */
	void subscriptionChanged(String peer, NewsRequest request, long now) {
		epochObserved(ReplicatedKinds.latestEpoch(request), now);
		this.updates.ifPresent((updates) -> updates.requestReceived(peer, request));
	}

}
