package org.wisteriapost.entry.direct;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;

import org.wisteriapost.protocol.site.Follower;
import org.wisteriapost.protocol.site.Kind;

/**
 * The entry's own reading of the site's store, of all kinds together; for any thread.
 */
final class Following {

	private final Map<Kind, Follower> followers = new ConcurrentHashMap<>();

	void add(Kind kind, Follower follower) {
		this.followers.put(kind, follower);
	}

	void reliedOn(boolean relied) {
		this.followers.values().forEach((one) -> one.reliedOn(relied));
	}

	void pause() {
		this.followers.values().forEach(Follower::pause);
	}

	/**
	 * Hears that what was read of a kind was not taken.
	 */
	void forget(Kind kind) {
		Optional.ofNullable(this.followers.get(kind)).ifPresent(Follower::forget);
	}

	/**
	 * Goes on after a pause.
	 * @param known up to which revision all of a kind is known
	 */
	void resume(ToLongFunction<Kind> known) {
		this.followers.forEach((kind, follower) -> follower.resume(known.applyAsLong(kind)));
	}

}
