package org.wisteriapost.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a caller has of one chat completion.
 *
 * @param text the tokens so far
 * @param whole whether the answer's own end has come
 */
public record CompletionAnswer(String text, boolean whole) {

	private static final String DATA = "data: ";

	/**
	 * Returns the answer in some server-sent events; the last may be cut.
	 */
	public static CompletionAnswer ofEvents(String events) {
		StringBuilder text = new StringBuilder();
		int end;
		for (int at = 0; (end = events.indexOf("\n\n", at)) >= 0; at = end + 2) {
			String event = events.substring(at, end);
			if (!event.startsWith(DATA)) {
				continue;
			}
			String data = event.substring(DATA.length());
			if (data.equals("[DONE]")) {
				return new CompletionAnswer(text.toString(), true);
			}
			text.append(content(data, "delta"));
		}
		return new CompletionAnswer(text.toString(), false);
	}

	/**
	 * Returns the answer in a whole body.
	 */
	public static CompletionAnswer ofBody(String body) {
		return new CompletionAnswer(content(body, "message"), true);
	}

	private static String content(String json, String member) {
		JsonNode choice = Json.tree(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)).path("choices").path(0);
		return choice.path(member).path("content").asText();
	}

}
