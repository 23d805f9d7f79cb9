package org.wisteriapost.entry.direct;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;

import org.wisteriapost.protocol.site.Follower;
import org.wisteriapost.protocol.site.Kind;

/**
 * The watches of the site's store that this entry has itself, one for each kind.
 * Thread-safe.
 */
final class StoreWatches {

	private final Map<Kind, Follower> watches = new ConcurrentHashMap<>();

	void add(Kind kind, Follower watch) {
		this.watches.put(kind, watch);
	}

	void setHasSubscribers(boolean hasSubscribers) {
		this.watches.values().forEach((watch) -> watch.reliedOn(hasSubscribers));
	}

	void pause() {
		this.watches.values().forEach(Follower::pause);
	}

	/**
	 * Makes the watch of a kind list it again, since what it has read was discarded.
	 */
	void requireListing(Kind kind) {
		Optional.ofNullable(this.watches.get(kind)).ifPresent(Follower::forget);
	}

	/**
	 * Resumes after a pause.
	 * @param knownRevisions the revision up to which all objects of a kind are known
	 */
	void resume(ToLongFunction<Kind> knownRevisions) {
		this.watches.forEach((kind, watch) -> watch.resume(knownRevisions.applyAsLong(kind)));
	}

}
