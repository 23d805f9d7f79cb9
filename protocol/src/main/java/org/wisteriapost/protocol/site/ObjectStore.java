package org.wisteriapost.protocol.site;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.EntryInfo;

/**
 * A site's store: objects by kind and name, one revision that grows with every change,
 * watches from a revision on.
 *
 * A failed future carries a {@link org.wisteriapost.kernel.CodedException}. One of a
 * listing or a watch that is cancelled gives the call up.
 */
public interface ObjectStore {

	/** The store did not answer, or turned the call away. */
	Code UNAVAILABLE = Code.unavailable("store-unavailable", "The site's store did not take the call.");

	/** The revision is older than the history that the store keeps. */
	Code HISTORY_GONE = Code.warning("store-history-gone",
			"The store no longer has the changes since a revision; all objects are read again.");

	/**
	 * Returns one page of the objects of a kind, as of now.
	 * @param after the last name of the page before; empty for the first
	 */
	CompletableFuture<Page> list(Kind kind, Optional<String> after);

	/**
	 * Waits for changes after a revision; none when the wait ended without any.
	 */
	CompletableFuture<Changes> watch(Kind kind, long revision, Duration wait);

	/**
	 * Writes this process's own entry, whatever is there.
	 */
	CompletableFuture<Void> register(EntryInfo entry);

	/**
	 * Removes an entry, but only as it was read: a later start under the same name stays.
	 */
	CompletableFuture<Void> unregister(String name, long revision);

	/**
	 * Returns an object that another process has read in this store; empty when it has no
	 * name that could be read.
	 * @param content as {@link Item#content} returned it there
	 */
	Optional<Item> decode(Kind kind, byte[] content);

	/**
	 * One object.
	 *
	 * @param name within its kind
	 * @param revision of its last change
	 * @param value decoded; empty when it cannot be read
	 * @param source writes it as the store did; done only for processes that the store
	 * does not answer
	 */
	record Item(String name, long revision, Optional<Declared> value, Supplier<byte[]> source) {

		/**
		 * Returns the object as the store wrote it.
		 */
		public byte[] content() {
			return this.source.get();
		}

	}

	/**
	 * A part of a kind's objects.
	 *
	 * @param items by name
	 * @param more whether there are further pages
	 * @param at the store's revision
	 */
	record Page(List<Item> items, boolean more, long at) {
	}

	/**
	 * One change.
	 *
	 * @param item as it is after the change
	 * @param deleted whether it is gone
	 */
	record Change(Item item, boolean deleted) {
	}

	/**
	 * Changes in order.
	 *
	 * @param list the changes
	 * @param at where to go on
	 */
	record Changes(List<Change> list, long at) {
	}

}
