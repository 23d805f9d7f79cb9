package org.wisteriapost.entry.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.wisteriapost.policy.bundle.Digests;

/**
 * Computes the prefix-cache key of a prompt, which requests with a common beginning
 * share.
 */
final class PromptPrefix {

	private static final int PREFIX_CHARS = 256;

	private static final int HASH_HEX_CHARS = 16;

	private static final int HEX_RADIX = 16;

	private PromptPrefix() {
	}

	/**
	 * Returns the cache key of a prompt, never 0: the first 8 bytes, big-endian, of the
	 * SHA-256 of its first 256 characters in UTF-8, with the lowest bit set. The prompt
	 * is the contents of all messages, one a line. Engines report cached prefixes by it.
	 */
	static long hash(JsonNode chat) {
		List<String> contents = new ArrayList<>();
		chat.path("messages").forEach((message) -> contents.add(message.path("content").asText()));
		String prompt = String.join("\n", contents);
		String start = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
		String digest = Digests.sha256(start.getBytes(StandardCharsets.UTF_8));
		return Long.parseUnsignedLong(digest.substring(0, HASH_HEX_CHARS), HEX_RADIX) | 1;
	}

}
