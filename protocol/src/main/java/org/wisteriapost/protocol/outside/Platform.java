package org.wisteriapost.protocol.outside;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;

/**
 * The platform's object API: versioned values, conditional updates and watches.
 *
 * A failed future carries a {@link org.wisteriapost.kernel.CodedException} with
 * {@link #UNAVAILABLE} when the call certainly had no effect and {@link #UNCONFIRMED}
 * when it may have had. A writer that meets the second reads back and looks for its own
 * nonce; it never guesses. Each call counts against the platform's limits, a waiting
 * watch as one.
 */
public interface Platform extends AutoCloseable {

	/** The call certainly had no effect. */
	Code UNAVAILABLE = Code.unavailable("platform-unavailable", "The platform did not take the call.");

	/** A write may have taken effect. */
	Code UNCONFIRMED = Code.unavailable("platform-unconfirmed",
			"The platform's answer to a write was lost; the write may have taken effect.");

	/** The most bytes in one value. */
	int MAX_VALUE_BYTES = 1 << 20;

	/**
	 * Returns the value of a key.
	 */
	CompletableFuture<Optional<Stored>> get(String key);

	/**
	 * Returns the result of a conditional update.
	 */
	CompletableFuture<PutResult> put(String key, byte[] value, Expected expected);

	/**
	 * Returns all values under a prefix and the revision they were read at.
	 */
	CompletableFuture<Listing> list(String prefix);

	/**
	 * Waits for a change under a prefix after a revision; the listing is empty when the
	 * wait ended without one.
	 */
	CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait);

	@Override
	void close();

	/**
	 * One stored value.
	 *
	 * @param key its key
	 * @param value its bytes
	 * @param version counts its updates, from 1
	 */
	record Stored(String key, byte[] value, long version) {
	}

	/**
	 * Values under a prefix.
	 *
	 * @param items the values, by key
	 * @param revision the store's revision, for the next watch
	 */
	record Listing(List<Stored> items, long revision) {
	}

	/**
	 * What a write expects to find.
	 */
	sealed interface Expected {

		/** The key does not exist. */
		record Absent() implements Expected {
		}

		/**
		 * The key has exactly this version.
		 *
		 * @param version as read before
		 */
		record Version(long version) implements Expected {
		}

		/** Whatever is there; only for values that one writer owns. */
		record Anything() implements Expected {
		}

	}

	/**
	 * What became of a write that the platform answered.
	 */
	sealed interface PutResult {

		/**
		 * The write took effect.
		 *
		 * @param version the key's new version
		 */
		record Written(long version) implements PutResult {
		}

		/**
		 * The write had no effect: the key was not as expected.
		 *
		 * @param current what is there instead
		 */
		record Conflict(Optional<Stored> current) implements PutResult {
		}

	}

}
