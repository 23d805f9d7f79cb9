package org.wisteriapost.entry.direct;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.StoreWatcher;

/**
 * The watches of the site's store that this entry has itself, one for each kind.
 * Thread-safe.
 */
final class StoreWatches {

	private final Map<ObjectKind, StoreWatcher> watches = new ConcurrentHashMap<>();

	void add(ObjectKind kind, StoreWatcher watch) {
		this.watches.put(kind, watch);
	}

	void setHasSubscribers(boolean hasSubscribers) {
		this.watches.values().forEach((watch) -> watch.setLeader(hasSubscribers));
	}

	void pause() {
		this.watches.values().forEach(StoreWatcher::pause);
	}

	void pause(ObjectKind kind) {
		Optional.ofNullable(this.watches.get(kind)).ifPresent(StoreWatcher::pause);
	}

	/**
	 * Resumes the watch of one kind after a pause.
	 * @param epoch the store's epoch in which the objects of the kind are known
	 * @param knownRevision the revision up to which all of them are known
	 */
	void resume(ObjectKind kind, long epoch, long knownRevision) {
		Optional.ofNullable(this.watches.get(kind)).ifPresent((watch) -> watch.resume(epoch, knownRevision));
	}

	/**
	 * Makes all watches read in an epoch of the store, or a later one.
	 */
	void epochObserved(long epoch) {
		this.watches.values().forEach((watch) -> watch.epochObserved(epoch));
	}

	/**
	 * Makes the watch of a kind list it again, since what it has read was discarded.
	 */
	void requireListing(ObjectKind kind) {
		Optional.ofNullable(this.watches.get(kind)).ifPresent(StoreWatcher::relistOnResume);
	}

	Set<ObjectKind> kinds() {
		return Set.copyOf(this.watches.keySet());
	}

}
