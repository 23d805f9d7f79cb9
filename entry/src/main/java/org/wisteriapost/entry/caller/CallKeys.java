package org.wisteriapost.entry.caller;

import java.util.Optional;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the time out of an idempotency key: a header of its own, a version 7 UUID, or a
 * key that begins with milliseconds since 1970 and a dash.
 *
 * The time is needed because keys are not kept for ever. Without it a repeat that comes
 * after its key was dropped looks like a new call and would run a second time.
 */
final class CallKeys {

	private static final Pattern MILLIS_FIRST = Pattern.compile("(\\d{13})-.+");

	private static final Pattern MILLIS = Pattern.compile("\\d{13}");

	private static final Pattern TEXT = Pattern.compile("[\\x21-\\x7e]{1,128}");

	private static final int UUID_LENGTH = 36;

	private static final int TIME_VERSION = 7;

	private static final int TIME_SHIFT = 16;

	private CallKeys() {
	}

	/**
	 * Returns whether a text can be a key at all.
	 */
	static boolean wellFormed(String text) {
		return TEXT.matcher(text).matches();
	}

	/**
	 * Returns a key with its time, empty when it carries none.
	 * @param header the value of the time header, or null
	 */
	static Optional<CallKey> read(String text, String header) {
		if (header != null) {
			return MILLIS.matcher(header).matches() ? Optional.of(new CallKey(text, Long.parseLong(header)))
					: Optional.empty();
		}
		Matcher first = MILLIS_FIRST.matcher(text);
		if (first.matches()) {
			return Optional.of(new CallKey(text, Long.parseLong(first.group(1))));
		}
		return uuid(text).filter((uuid) -> uuid.version() == TIME_VERSION)
			.map((uuid) -> new CallKey(text, uuid.getMostSignificantBits() >>> TIME_SHIFT));
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
