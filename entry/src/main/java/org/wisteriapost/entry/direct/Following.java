package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.wisteriapost.protocol.site.Follower;

/**
 * The entry's own reading of the site's store, of all kinds together; for any thread.
 */
final class Following {

	private final List<Follower> followers = new CopyOnWriteArrayList<>();

	void add(Follower follower) {
		this.followers.add(follower);
	}

	void reliedOn(boolean relied) {
		this.followers.forEach((one) -> one.reliedOn(relied));
	}

	void pause() {
		this.followers.forEach(Follower::pause);
	}

	void resume() {
		this.followers.forEach(Follower::resume);
	}

}
