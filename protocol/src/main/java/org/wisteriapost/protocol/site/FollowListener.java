package org.wisteriapost.protocol.site;

import java.util.List;

/**
 * Receives the objects that a {@link Follower} reads, in order.
 */
public interface FollowListener {

	/**
	 * Called with all objects of the kind; objects that are not included were deleted.
	 * @param at the store's revision at the start of the listing
	 */
	void onAll(List<ObjectStore.Item> items, long at);

	/**
	 * Called for each change.
	 */
	void onChange(ObjectStore.Change change);

	/**
	 * Called when the listener has received everything that the store held at a point in
	 * time.
	 * @param asOfNanos the confirmed time, by this process's {@link System#nanoTime}
	 */
	void onConfirmed(long asOfNanos);

	/**
	 * Called when a watch has failed and the store has not answered since, so the objects
	 * may be stale. Called only while this process is the leader of others.
	 */
	void onDoubt();

	/**
	 * Called when the store becomes reachable or unreachable.
	 */
	void onReachable(boolean reachable);

}
