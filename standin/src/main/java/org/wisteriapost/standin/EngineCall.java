package org.wisteriapost.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.wisteriapost.protocol.CallerHeaders;

/**
 * One chat completion that the engine serves.
 */
final class EngineCall {

	private static final int DEFAULT_TOKENS = 16;

	private final Responder responder;

	private final String id;

	private final String model;

	private final String prompt;

	private final int tokens;

	private final boolean stream;

	private final int priority;

	private final StringBuilder text = new StringBuilder();

	private String weightsLabel = "";

	private ResponseBodyStream body;

	private Runnable stopDisconnectDetection = () -> {
	};

	private volatile boolean cancelled;

	private EngineCall(Responder responder, Request request) {
		JsonNode json = Json.tree(request.body());
		this.responder = responder;
		this.id = request.header(CallerHeaders.REQUEST_ID).orElse("");
		this.model = json.path("model").asText();
		this.prompt = EngineTokens.prompt(request.body());
		this.tokens = Math.max(1, json.path("max_tokens").asInt(DEFAULT_TOKENS));
		this.stream = json.path("stream").asBoolean();
		this.priority = queueRank(request.header(CallerHeaders.PRIORITY).orElse("normal"));
	}

	static EngineCall of(Request request, Responder responder) {
		return new EngineCall(responder, request);
	}

	String prompt() {
		return this.prompt;
	}

	int tokens() {
		return this.tokens;
	}

	/** Returns the rank in the queue, lowest first. */
	int priority() {
		return this.priority;
	}

	void setWeightsLabel(String weightsDigest) {
		this.weightsLabel = weightsDigest;
	}

	void onDisconnect(Runnable action) {
		this.stopDisconnectDetection = this.responder.onDisconnect(action);
	}

	void cancel() {
		this.cancelled = true;
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void token(String token, int index) {
		this.text.append(token);
		if (!this.stream) {
			return;
		}
		if (index == 0) {
			this.body = this.responder.stream(200, headers("text/event-stream"), -1);
		}
		this.body.push(event(Map.of("content", token), null));
	}

	void end() {
		this.stopDisconnectDetection.run();
		if (this.stream) {
			this.body.push(event(Map.of(), "stop"));
			this.body.push("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
			this.body.end();
			return;
		}
		Choice choice = new Choice(0, new Message("assistant", this.text.toString()), "stop");
		CompletionBody completion = new CompletionBody("chatcmpl-" + this.id, "chat.completion", this.model,
				List.of(choice), Map.of("completion_tokens", this.tokens));
		this.responder.bytes(200, headers("application/json"), Json.write(completion));
	}

	private Map<String, String> headers(String type) {
		return Map.of("Content-Type", type, CallerHeaders.WEIGHTS, this.weightsLabel, CallerHeaders.REQUEST_ID,
				this.id);
	}

	private byte[] event(Map<String, String> delta, String finish) {
		Chunk chunk = new Chunk("chatcmpl-" + this.id, "chat.completion.chunk", this.model,
				List.of(new ChunkChoice(0, delta, finish)));
		String data = new String(Json.write(chunk), StandardCharsets.UTF_8);
		return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	private static int queueRank(String priority) {
		return switch (priority.toLowerCase(Locale.ROOT)) {
			case "urgent" -> 0;
			case "bulk" -> 2;
			default -> 1;
		};
	}

	private record CompletionBody(String id, String object, String model, List<Choice> choices,
			Map<String, Integer> usage) {
	}

	private record Choice(int index, Message message, String finish_reason) {
	}

	private record Message(String role, String content) {
	}

	private record Chunk(String id, String object, String model, List<ChunkChoice> choices) {
	}

	private record ChunkChoice(int index, Map<String, String> delta, String finish_reason) {
	}

}
