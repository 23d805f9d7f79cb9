package org.wisteriapost.policy.quarantine;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The parts of a prompt that may be what crashes a runner: all but the last, which is
 * usually the request's own.
 *
 * @param suspects their ids, each once
 */
public record PromptParts(Set<Long> suspects) {

	/** The caller names no parts, or only one. */
	public static final PromptParts NONE = new PromptParts(Set.of());

	// Bounds the work for one request; further parts are not suspected.
	private static final int MAX_PARTS = 64;

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
		List<String> parts = Arrays.stream(named.get().split(",")).map(String::strip).toList();
		Set<Long> suspects = new LinkedHashSet<>();
		parts.stream().limit(Math.min(parts.size() - 1, MAX_PARTS)).map(PromptParts::id).forEach(suspects::add);
		return new PromptParts(suspects);
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
