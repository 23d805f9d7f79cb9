package org.wisteriapost.policy.claim;

import java.time.Duration;
import java.util.Optional;

import org.wisteriapost.policy.bundle.Digests;

/**
 * Location of an idempotency key in the platform. Entries of all versions and settings
 * must compute the same location; otherwise two of them would each take the key for new
 * and run its call twice. The sizes below are therefore constants and not settings.
 *
 * @param object the object's key in the platform
 * @param slot the time slot in which the key was issued
 * @param hash hash of organisation and key
 */
public record ClaimKey(String object, long slot, String hash) {

	/** How long after its issue a key may be repeated. */
	public static final Duration RETENTION = Duration.ofHours(24);

	/** How far a caller's clock may be ahead of an entry's. */
	public static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(5);

	// Bounds the size of a page, which is rewritten by each batch: at 1,000 calls per
	// second and 16 shards, ten seconds are 625 records, about 150 KB.
	private static final long SLOT_MILLIS = 10_000;

	// Few enough that keys share writes under load, and enough that six entries seldom
	// write the same page concurrently. See docs/design/idempotency.md.
	private static final int SHARD_COUNT = 16;

	// A slot reuses an object one hour after the last key in it may be repeated, which
	// tolerates differing clocks of the entries.
	private static final long SLOT_COUNT = RETENTION.plusHours(1).toMillis() / SLOT_MILLIS;

	private static final int HASH_CHARS = 32;

	/**
	 * Returns the location of a key.
	 * @param issuedMillis when the caller issued the key, in milliseconds since 1970
	 */
	public static ClaimKey of(String organisation, String key, long issuedMillis) {
		// The length prefix keeps the parts unambiguous, since names may contain the
		// separator.
		String hash = Digests.sha256(organisation.length() + "\n" + organisation + "\n" + issuedMillis + "\n" + key)
			.substring(0, HASH_CHARS);
		long slot = issuedMillis / SLOT_MILLIS;
		int shard = Integer.parseInt(hash.substring(0, 2), 16) % SHARD_COUNT;
		return new ClaimKey("claims/" + slot % SLOT_COUNT + "/" + shard, slot, hash);
	}

	/**
	 * Returns why a key issued at the given time cannot be used now, or empty if it can.
	 */
	public static Optional<Rejection> validate(long issuedMillis, long nowMillis) {
		if (issuedMillis < nowMillis - RETENTION.toMillis()) {
			return Optional.of(Rejection.EXPIRED);
		}
		return (issuedMillis > nowMillis + MAX_CLOCK_SKEW.toMillis()) ? Optional.of(Rejection.ISSUED_IN_FUTURE)
				: Optional.empty();
	}

	/**
	 * Reasons why a key cannot be used.
	 */
	public enum Rejection {

		/** Its record may have expired, so that the first call may have run. */
		EXPIRED,
		/** It was issued too far in the future by the clock of this entry. */
		ISSUED_IN_FUTURE

	}

}
