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
 * when it may have taken effect. After the latter a writer reads the value back and
 * checks it for its own nonce. Each call counts against the platform's rate limits, a
 * waiting watch as one call.
 */
public interface Platform extends AutoCloseable {

	/** The call certainly had no effect. */
	Code UNAVAILABLE = Code.unavailable("platform-unavailable", "The platform did not take the call.");

	/** A write may have taken effect. */
	Code UNCONFIRMED = Code.unavailable("platform-unconfirmed",
			"The platform's answer to a write was lost; the write may have taken effect.");

	/** Maximum size of a value. */
	int MAX_VALUE_BYTES = 1 << 20;

	/**
	 * Returns the value of a key.
	 */
	CompletableFuture<Optional<Stored>> get(String key);

	/**
	 * Updates a key conditionally.
	 */
	CompletableFuture<PutResult> put(String key, byte[] value, Precondition expected);

	/**
	 * Returns all values under a prefix and their revision.
	 */
	CompletableFuture<Listing> list(String prefix);

	/**
	 * Waits for changes under a prefix after a revision; returns an empty listing when
	 * there were none within the wait.
	 */
	CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait);

	@Override
	void close();

	/**
	 * A stored value.
	 *
	 * @param key its key
	 * @param value its bytes
	 * @param version number of its updates, starting at 1
	 */
	record Stored(String key, byte[] value, long version) {
	}

	/**
	 * Values under a prefix.
	 *
	 * @param items the values, ordered by key
	 * @param revision the store's revision, for the next watch
	 */
	record Listing(List<Stored> items, long revision) {
	}

	/**
	 * The precondition of a write.
	 */
	sealed interface Precondition {

		/** The key does not exist. */
		record Absent() implements Precondition {
		}

		/**
		 * The key has exactly this version.
		 *
		 * @param version the version read before
		 */
		record Version(long version) implements Precondition {
		}

		/** No precondition; only for values that have a single writer. */
		record Anything() implements Precondition {
		}

	}

	/**
	 * The result of a write that the platform answered.
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
		 * The write had no effect because its precondition did not hold.
		 *
		 * @param current the stored value; empty when the key does not exist
		 */
		record Conflict(Optional<Stored> current) implements PutResult {
		}

	}

}
