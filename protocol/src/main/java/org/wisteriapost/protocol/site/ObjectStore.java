package org.wisteriapost.protocol.site;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.EntryInfo;

/**
 * A site's store: objects by kind and name, a single revision that increases with every
 * change, and watches that start at a revision.
 *
 * A store can be restored from a copy: what was written since the copy is lost, and its
 * revisions are given out again. The epoch counts this, so a revision means something
 * only within its epoch.
 *
 * A failed future carries a {@link org.wisteriapost.kernel.CodedException}. Cancelling
 * the future of a listing or a watch cancels the call.
 */
public interface ObjectStore {

	/** The epoch of a store that states none. */
	long UNKNOWN_EPOCH = 0;

	/** The store did not answer or rejected the call. */
	Code UNAVAILABLE = Code.unavailable("store-unavailable", "The site's store did not take the call.");

	/** The revision is older than the history that the store keeps. */
	Code HISTORY_GONE = Code.warning("store-history-gone",
			"The store no longer has the changes since a revision; all objects are read again.");

	/**
	 * Returns one page of the current objects of a kind.
	 * @param after the last name of the previous page; empty for the first page
	 */
	CompletableFuture<Page> list(ObjectKind kind, Optional<String> after);

	/**
	 * Waits for changes after a revision; returns an empty list when there were none
	 * within the wait.
	 */
	CompletableFuture<Changes> watch(ObjectKind kind, long revision, Duration wait);

	/**
	 * Writes this process's own entry unconditionally.
	 */
	CompletableFuture<Void> register(EntryInfo entry);

	/**
	 * Removes an entry if its revision is unchanged, so that a later incarnation with the
	 * same name is kept.
	 */
	CompletableFuture<Void> unregister(String name, long revision);

	/**
	 * Decodes an object that another process read from this store; empty when its name
	 * cannot be decoded.
	 * @param content the result of {@link Item#content} in that process
	 */
	Optional<Item> decode(ObjectKind kind, byte[] content);

	/**
	 * An object.
	 *
	 * @param name unique within its kind
	 * @param revision the revision of its last change
	 * @param value the decoded object; empty when it cannot be decoded
	 * @param encoder encodes it as in the store; used only for processes that cannot
	 * reach the store
	 */
	record Item(String name, long revision, Optional<DecodedObject> value, Supplier<byte[]> encoder) {

		/**
		 * Returns the object as encoded in the store.
		 */
		public byte[] content() {
			return this.encoder.get();
		}

	}

	/**
	 * A page of the objects of a kind.
	 *
	 * @param items ordered by name
	 * @param hasMore whether there are further pages
	 * @param revision the store's revision
	 * @param epoch the store's epoch, or {@link #UNKNOWN_EPOCH}
	 */
	record Page(List<Item> items, boolean hasMore, long revision, long epoch) {

		/**
		 * Creates a page of a store that states no epoch.
		 */
		public Page(List<Item> items, boolean hasMore, long revision) {
			this(items, hasMore, revision, UNKNOWN_EPOCH);
		}

	}

	/**
	 * A change of an object.
	 *
	 * @param item the object after the change
	 * @param deleted whether the object was deleted
	 */
	record Change(Item item, boolean deleted) {
	}

	/**
	 * Changes in order.
	 *
	 * @param changes the changes
	 * @param revision the revision from which to continue
	 * @param epoch the store's epoch, or {@link #UNKNOWN_EPOCH}
	 */
	record Changes(List<Change> changes, long revision, long epoch) {

		/**
		 * Creates changes of a store that states no epoch.
		 */
		public Changes(List<Change> changes, long revision) {
			this(changes, revision, UNKNOWN_EPOCH);
		}

	}

}
