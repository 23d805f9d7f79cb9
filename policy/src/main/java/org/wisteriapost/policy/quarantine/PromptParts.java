package org.wisteriapost.policy.quarantine;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The parts of a prompt that may be what crashes a runner: all but the last, which is
 * usually the request's own.
 *
 * @param suspects their ids, each once
 */
public record PromptParts(Set<Long> suspects) {

	/** The caller names no parts, only one, or more than can be suspected. */
	public static final PromptParts NONE = new PromptParts(Set.of());

	// Bounds the work for one request; fewer than are remembered. A longer list is not
	// cut short: without the bad part, those that all requests share would be convicted.
	private static final int MAX_PARTS = 1536;

	private static final int MAX_ID_LENGTH = 16;

	public PromptParts {
		suspects = Set.copyOf(suspects);
	}

	/**
	 * Returns the parts that a caller names.
	 * @param named comma-separated, in order, each {@code ID:TOKENS} with a hexadecimal
	 * id
	 */
	public static PromptParts of(Optional<String> named) {
		if (named.isEmpty()) {
			return NONE;
		}
		String[] parts = named.get().split(",");
		if (parts.length <= 1 || parts.length - 1 > MAX_PARTS) {
			return NONE;
		}
		return new PromptParts(Arrays.stream(parts, 0, parts.length - 1)
			.map(String::strip)
			.map(PromptParts::id)
			.collect(Collectors.toUnmodifiableSet()));
	}

	// Other names than numbers of 64 bits are hashed.
	private static long id(String part) {
		int colon = part.indexOf(':');
		String id = (colon < 0) ? part : part.substring(0, colon);
		boolean number = !id.isEmpty() && id.length() <= MAX_ID_LENGTH
				&& id.chars().allMatch((digit) -> Character.digit(digit, 16) >= 0);
		return number ? Long.parseUnsignedLong(id, 16) : Hashing.komihash5_0().hashCharsToLong(id);
	}

	/**
	 * Returns the name of a part for logs, as callers write it but without leading zeros.
	 */
	public static String name(long id) {
		return Long.toHexString(id);
	}

}
