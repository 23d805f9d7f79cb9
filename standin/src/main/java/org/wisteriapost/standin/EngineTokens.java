package org.wisteriapost.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.wisteriapost.policy.bundle.Digests;

/**
 * The tokens that the stand-in engine generates. They depend on the weights, the prompt
 * and the index, so that a client can detect truncated, mixed or foreign completions.
 */
public final class EngineTokens {

	private static final int PREFIX_CHARS = 256;

	private static final int TOKEN_CHARS = 8;

	private EngineTokens() {
	}

	/**
	 * Returns one token, with a leading space.
	 */
	public static String token(String weightsDigest, String prompt, int index) {
		return " " + Digests.sha256(weightsDigest + "\n" + index + "\n" + prompt).substring(0, TOKEN_CHARS);
	}

	/**
	 * Returns the completion with the given number of tokens.
	 */
	public static String answer(String weightsDigest, String prompt, int tokens) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < tokens; i++) {
			text.append(token(weightsDigest, prompt, i));
		}
		return text.toString();
	}

	/**
	 * Returns how many leading tokens of a completion were generated with these weights.
	 */
	public static int countMatching(String weightsDigest, String prompt, String answer) {
		int count = 0;
		int length = TOKEN_CHARS + 1;
		while ((count + 1) * length <= answer.length()
				&& answer.substring(count * length, (count + 1) * length).equals(token(weightsDigest, prompt, count))) {
			count++;
		}
		return count;
	}

	/**
	 * Returns the prompt of a request body: the contents of its messages, joined by line
	 * breaks.
	 */
	public static String prompt(byte[] body) {
		List<String> contents = new ArrayList<>();
		for (JsonNode message : Json.tree(body).path("messages")) {
			contents.add(message.path("content").asText());
		}
		return String.join("\n", contents);
	}

	/**
	 * Returns the cache key of a prompt: the first 8 bytes, big-endian, of the SHA-256 of
	 * its first 256 characters in UTF-8; 0 is never returned.
	 */
	public static long prefix(String prompt) {
		String start = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
		String hash = Digests.sha256(start.getBytes(StandardCharsets.UTF_8));
		return Long.parseUnsignedLong(hash.substring(0, 16), 16) | 1;
	}

}
