package org.wisteriapost.entry.caller;

import java.util.Optional;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses an idempotency key and its time of issue, which is given by a header of its own,
 * by a version 7 UUID, or by a key that begins with milliseconds since 1970 and a dash.
 *
 * Claims of keys are kept for a limited time. Without the time of issue a repeat that
 * comes after its claim has expired would look like a new call and run a second time.
 */
final class IdempotencyKeyParser {

	private static final Pattern MILLIS_PREFIX = Pattern.compile("(\\d{13})-.+");

	private static final Pattern MILLIS = Pattern.compile("\\d{13}");

	private static final Pattern TEXT = Pattern.compile("[\\x21-\\x7e]{1,128}");

	private static final int UUID_LENGTH = 36;

	private static final int TIME_ORDERED_VERSION = 7;

	private static final int TIMESTAMP_SHIFT = 16;

	private IdempotencyKeyParser() {
	}

	/**
	 * Returns whether a text has the form of a key, with or without a time.
	 */
	static boolean isWellFormed(String text) {
		return TEXT.matcher(text).matches();
	}

	/**
	 * Returns a key with its time of issue, empty if there is none.
	 * @param header the value of the time header, or null
	 */
	static Optional<IdempotencyKey> parse(String text, String header) {
		if (header != null) {
			return MILLIS.matcher(header).matches() ? Optional.of(new IdempotencyKey(text, Long.parseLong(header)))
					: Optional.empty();
		}
		Matcher first = MILLIS_PREFIX.matcher(text);
		if (first.matches()) {
			return Optional.of(new IdempotencyKey(text, Long.parseLong(first.group(1))));
		}
		return uuid(text).filter((uuid) -> uuid.version() == TIME_ORDERED_VERSION)
			.map((uuid) -> new IdempotencyKey(text, uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT));
	}

	private static Optional<UUID> uuid(String text) {
		if (text.length() != UUID_LENGTH) {
			return Optional.empty();
		}
		try {
			return Optional.of(UUID.fromString(text));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
