package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.StoreObject;

/**
 * Applies the updates of other entries to this entry's replica of the store, as far as
 * they belong to its epoch or begin a later one. Confined to the state thread.
 */
final class ReplicaUpdates {

	private final StoreReplica replica;

	private final UpdateSubscriptions subscriptions;

	ReplicaUpdates(StoreReplica replica, UpdateSubscriptions subscriptions) {
		this.replica = replica;
		this.subscriptions = subscriptions;
	}

	/**
	 * Applies an update that is not a heartbeat and returns the changes as if they were
	 * read from the store.
	 * @param readsAnswered whether the store answers this entry's own reads
	 */
	List<DirectEvent> apply(String peer, ObjectKind kind, News update, boolean readsAnswered) {
		if (readsAnswered && isLessCertain(kind, update)) {
			if (update.getAll()) {
				this.subscriptions.markDelivered(peer, kind);
			}
			return List.of();
		}
		boolean later = this.replica.isLater(kind, update.getEpoch());
		if (this.replica.isOutdated(kind, update.getEpoch()) || (later && !update.getAll())) {
			this.subscriptions.otherEpochReceived(peer, kind, update);
			return List.of();
		}
		boolean rolledBack = update.getAll() && this.subscriptions.isRolledBack(peer, kind, update);
		if (later || rolledBack) {
			return replaceAll(peer, kind, update);
		}
		if (!this.replica.hasReferenced(kind, update.getObjectsList())) {
			this.subscriptions.contentMissing(peer, kind, update);
			return List.of();
		}
		List<DirectEvent> changes = new ArrayList<>();
		for (StoreObject object : update.getObjectsList()) {
			this.replica.applyFromPeer(kind, object)
				.ifPresent((change) -> changes.add(new DirectEvent.ObjectChanged(kind, change)));
		}
		if (update.getAll()) {
			this.subscriptions.markDelivered(peer, kind);
			return List.of(applyFullUpdate(kind, update));
		}
		// If an earlier change is missing, the update does not prove up to where the
		// kind is known: a subscriber of this entry would remove objects that were
		// created in between.
		if (this.subscriptions.hasAll(peer, kind)) {
			update.getObjectsList().forEach((object) -> this.replica.advanceRevision(kind, object.getRevision()));
		}
		return changes;
	}

	// A peer of an older version may send what the store has lost, at a higher revision
	// than what this entry reads itself.
	private boolean isLessCertain(ObjectKind kind, News update) {
		return update.getEpoch() == ObjectStore.UNKNOWN_EPOCH && this.replica.epoch(kind) != ObjectStore.UNKNOWN_EPOCH;
	}

	// The store was restored from a copy: whatever is known belongs to an earlier epoch.
	private List<DirectEvent> replaceAll(String peer, ObjectKind kind, News update) {
		if (update.getObjectsList().stream().anyMatch(StoreObject::getKnown)) {
			this.subscriptions.contentMissing(peer, kind, update);
			return List.of();
		}
		this.replica.setEpoch(kind, update.getEpoch());
		this.replica.replaceFromPeer(kind, update.getObjectsList(), update.getAt());
		this.subscriptions.markDelivered(peer, kind);
		return List.of(new DirectEvent.ObjectsListed(kind, this.replica.items(kind), update.getAt()));
	}

	private DirectEvent applyFullUpdate(ObjectKind kind, News update) {
		Set<String> listed = new HashSet<>();
		update.getObjectsList().forEach((object) -> listed.add(object.getName()));
		this.replica.removeUnlisted(kind, listed, update.getAt());
		this.replica.advanceRevision(kind, update.getAt());
		return new DirectEvent.ObjectsListed(kind, this.replica.items(kind), this.replica.knownRevision(kind));
	}

}
