package org.wisteriapost.policy.claim;

import java.time.Duration;
import java.util.Optional;

import org.wisteriapost.policy.bundle.Digests;

/**
 * Where in the platform an idempotency key is kept. All entries, of whatever version and
 * settings, must compute the same: two that differ would each find the key new. So the
 * sizes below are no settings.
 *
 * @param object the platform's key
 * @param slot the slot of time that the key was made in
 * @param hash of organisation and key
 */
public record ClaimKey(String object, long slot, String hash) {

	/** How long after a key was made its call may be repeated. */
	public static final Duration KEPT = Duration.ofHours(24);

	/** How far a caller's clock may run ahead of an entry's. */
	public static final Duration SKEW = Duration.ofMinutes(5);

	// A page is written whole for each batch, so it must stay small at the highest rate:
	// ten seconds at 1,000 calls a second over 16 shards are 625 records or some 150 KB.
	private static final long SLOT_MILLIS = 10_000;

	// Few, so that under load many keys share a write; not fewer, so that six entries
	// seldom write the same page at the same moment. See docs/design/idempotency.md.
	private static final int SHARDS = 16;

	// An object is taken over by a new slot an hour after the last key in it may be
	// repeated, which leaves room for entries whose clocks differ.
	private static final long SLOTS = KEPT.plusHours(1).toMillis() / SLOT_MILLIS;

	private static final int HASH_CHARS = 32;

	/**
	 * Returns where a key is kept.
	 * @param issuedMillis when the caller made the key, in milliseconds since 1970
	 */
	public static ClaimKey of(String organisation, String key, long issuedMillis) {
		// The lengths keep apart what a separator within a name would not.
		String hash = Digests.sha256(organisation.length() + "\n" + organisation + "\n" + issuedMillis + "\n" + key)
			.substring(0, HASH_CHARS);
		long slot = issuedMillis / SLOT_MILLIS;
		int shard = Integer.parseInt(hash.substring(0, 2), 16) % SHARDS;
		return new ClaimKey("claims/" + slot % SLOTS + "/" + shard, slot, hash);
	}

	/**
	 * Returns why a key of some time cannot be used now, empty when it can.
	 */
	public static Optional<Fault> check(long issuedMillis, long nowMillis) {
		if (issuedMillis < nowMillis - KEPT.toMillis()) {
			return Optional.of(Fault.TOO_OLD);
		}
		return (issuedMillis > nowMillis + SKEW.toMillis()) ? Optional.of(Fault.AHEAD) : Optional.empty();
	}

	/**
	 * Why a key cannot be used.
	 */
	public enum Fault {

		/** Its first call may have run and been forgotten. */
		TOO_OLD,
		/** It would be kept apart from itself once clocks are right. */
		AHEAD

	}

}
