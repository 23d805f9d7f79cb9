package org.wisteriapost.protocol.site;

import java.util.List;

/**
 * Hears what a {@link Follower} reads, in order.
 */
public interface FollowListener {

	/**
	 * Hears all objects of the kind; whatever is not among them is gone.
	 * @param at the store's revision when the listing began
	 */
	void onAll(List<ObjectStore.Item> items, long at);

	/**
	 * Hears one change.
	 */
	void onChange(ObjectStore.Change change);

	/**
	 * Hears that all that the store had at a moment has been told.
	 * @param asOfNanos the moment, by this process's {@link System#nanoTime}
	 */
	void onConfirmed(long asOfNanos);

	/**
	 * Hears that a watch was lost and the store has not answered since: what is known may
	 * be old. Called only while others rely on it.
	 */
	void onDoubt();

	/**
	 * Hears whether the store answers; called when that changes.
	 */
	void onReachable(boolean reachable);

}
