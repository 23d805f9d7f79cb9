package org.wisteriapost.protocol.site;

import java.util.List;

/**
 * Receives the objects that a {@link StoreWatcher} reads, in order.
 */
public interface StoreListener {

	/**
	 * Called when the store's epoch is read for the first time, or has risen since the
	 * store was restored from a copy. All later calls refer to this epoch.
	 */
	default void onEpoch(long epoch) {
	}

	/**
	 * Called with all objects of the kind; objects that are not included were deleted.
	 * @param revision the store's revision at the start of the listing
	 */
	void onSnapshot(List<ObjectStore.Item> items, long revision);

	/**
	 * Called for each change.
	 */
	void onChange(ObjectStore.Change change);

	/**
	 * Called when the listener has received everything that the store held at a point in
	 * time.
	 * @param confirmedNanos the confirmed time, by this process's {@link System#nanoTime}
	 */
	void onConfirmed(long confirmedNanos);

	/**
	 * Called when a watch has failed and the store has not answered since, so the objects
	 * may be stale. Called only while this process is the leader of others.
	 */
	void onPossiblyStale();

	/**
	 * Called when the store becomes reachable or unreachable.
	 */
	void onReachabilityChanged(boolean reachable);

}
