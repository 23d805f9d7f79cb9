package org.wisteriapost.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The part of a chat completion that a client has received.
 *
 * @param text the tokens received so far
 * @param complete whether the end of the completion was received
 */
public record ChatCompletion(String text, boolean complete) {

	private static final String DATA = "data: ";

	/**
	 * Parses server-sent events; the last one may be truncated.
	 */
	public static ChatCompletion ofEvents(String events) {
		StringBuilder text = new StringBuilder();
		int end;
		for (int at = 0; (end = events.indexOf("\n\n", at)) >= 0; at = end + 2) {
			String event = events.substring(at, end);
			if (!event.startsWith(DATA)) {
				continue;
			}
			String data = event.substring(DATA.length());
			if (data.equals("[DONE]")) {
				return new ChatCompletion(text.toString(), true);
			}
			text.append(content(data, "delta"));
		}
		return new ChatCompletion(text.toString(), false);
	}

	/**
	 * Parses a complete response body.
	 */
	public static ChatCompletion ofBody(String body) {
		return new ChatCompletion(content(body, "message"), true);
	}

	private static String content(String json, String member) {
		JsonNode choice = Json.tree(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)).path("choices").path(0);
		return choice.path(member).path("content").asText();
	}

}
