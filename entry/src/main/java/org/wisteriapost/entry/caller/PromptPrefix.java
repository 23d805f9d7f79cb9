package org.wisteriapost.entry.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

import com.fasterxml.jackson.databind.JsonNode;
import org.wisteriapost.policy.bundle.Digests;

/**
 * Names the part of a prompt that other requests are likely to share.
 */
final class PromptPrefix {

	private static final int LONG_HEX = 16;

	private PromptPrefix() {
	}

	/**
	 * Returns the hash of the first message's content, 0 when there is none: the first 64
	 * bits of its SHA-256, as an engine reports cached prefixes.
	 */
	static long hash(JsonNode chat) {
		String first = chat.path("messages").path(0).path("content").asText("");
		if (first.isEmpty()) {
			return 0;
		}
		String digest = Digests.sha256(first.getBytes(StandardCharsets.UTF_8));
		return ByteBuffer.wrap(HexFormat.of().parseHex(digest.substring(0, LONG_HEX))).getLong();
	}

}
