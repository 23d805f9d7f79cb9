package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.request.Priority;
import org.wisteriapost.policy.request.Request;
import org.wisteriapost.protocol.CallerHeaders;

/**
 * Parses an HTTP request into a {@link CallerCall}. A request that is invalid is rejected
 * here, before anything is queued, claimed or sent.
 */
final class CallParser {

	static final Code TOKEN_UNKNOWN = Code.error("token-unknown", "The bearer token is absent or of no organisation.");

	static final Code SERVICE_UNKNOWN = Code.error("service-unknown", "The bundle in force has no such service.");

	static final Code MODEL_UNKNOWN = Code.error("model-unknown", "The service does not serve this model.");

	static final Code BODY_MALFORMED = Code.error("body-malformed", "The body is not a chat-completions request.");

	static final Code HEADER_INVALID = Code.error("header-invalid", "A header's value cannot be read.");

	static final Code KEY_MISSING = Code.error("idempotency-key-missing",
			"A call that may not run twice came without an idempotency key.");

	static final Code KEY_WITHOUT_TIME = Code.error("idempotency-key-without-time",
			"An idempotency key does not say when it was made.");

	static final Code PATH_UNKNOWN = Code.error("path-unknown", "There is nothing at this path.");

	static final Code METHOD_UNKNOWN = Code.error("method-unknown", "This path does not take this method.");

	static final String CHAT = "/v1/chat/completions";

	static final String SERVICES = "/services/";

	private static final Set<String> IDEMPOTENT = Set.of("GET", "HEAD");

	private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

	// Hop-by-hop headers, headers for the entry only, and headers that are set anew for
	// the runner.
	private static final Set<String> WITHHELD_HEADERS = Set.of("connection", "keep-alive", "proxy-connection", "te",
			"trailer", "transfer-encoding", "upgrade", "host", "content-length", "authorization", "expect",
			"accept-encoding", "idempotency-key-time", "wisteriapost-deadline-ms", "wisteriapost-service",
			"wisteriapost-request-id");

	private static final int MAX_COST = 64;

	private static final int BYTES_PER_COST = 8 * 1024;

	private static final int TOKENS_PER_COST = 512;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final OrganisationTokens organisations;

	private final HttpLimits limits;

	CallParser(OrganisationTokens organisations, HttpLimits limits) {
		this.organisations = organisations;
		this.limits = limits;
	}

	/**
	 * Returns the organisation of the request's token; throws if there is none.
	 */
	String organisation(HttpServerExchange exchange) {
		return this.organisations.find(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION))
			.orElseThrow(() -> CodedException.of(TOKEN_UNKNOWN, "send Authorization: Bearer TOKEN"));
	}

	/**
	 * Returns whether a token that is unknown here may be rejected for good.
	 */
	boolean mayRejectToken(HttpServerExchange exchange) {
		return this.organisations.mayReject(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
	}

	/**
	 * Returns the request's deadline on the monotonic clock.
	 * @param nowNanos the time at which the request's head was received
	 */
	long deadline(HttpServerExchange exchange, long nowNanos) {
		String text = exchange.getRequestHeaders().getFirst(CallerHeaders.DEADLINE);
		if (text == null) {
			return nowNanos + this.limits.defaultDeadline().toNanos();
		}
		try {
			long millis = Long.parseLong(text.trim());
			if (millis >= 1 && millis <= this.limits.maxDeadline().toMillis()) {
				return nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
			}
		}
		catch (NumberFormatException ex) {
			// Rejected below, as is a number that is out of bounds.
		}
		throw CodedException.of(HEADER_INVALID,
				CallerHeaders.DEADLINE + " takes 1 to " + this.limits.maxDeadline().toMillis());
	}

	/**
	 * Returns the call; throws if the request is invalid.
	 */
	CallerCall parse(long id, String requestId, String organisation, long deadlineNanos, HttpServerExchange exchange,
			byte[] body, EntryView view, AnswerSink answer) {
		String path = exchange.getRequestURI();
		if (path.equals(CHAT)) {
			return chatCall(id, requestId, organisation, deadlineNanos, exchange, body, view, answer);
		}
		return plainServiceCall(id, requestId, organisation, deadlineNanos, exchange, body, view, answer);
	}

	private CallerCall chatCall(long id, String requestId, String organisation, long deadlineNanos,
			HttpServerExchange exchange, byte[] body, EntryView view, AnswerSink answer) {
		JsonNode tree = chatBody(body);
		String model = tree.path("model").asText("");
		String named = exchange.getRequestHeaders().getFirst(CallerHeaders.SERVICE);
		ServiceSpec spec = view.service((named != null) ? named : model)
			.filter((found) -> found.kind() == ServiceSpec.Kind.MODEL)
			.orElseThrow(() -> CodedException.of((named != null) ? SERVICE_UNKNOWN : MODEL_UNKNOWN,
					"\"" + printable((named != null) ? named : model) + "\""));
		if (named != null && !serves(spec, model)) {
			throw CodedException.of(MODEL_UNKNOWN, "\"" + printable(model) + "\" at " + spec.name());
		}
		int tokens = Math.max(0, tree.path("max_tokens").asInt(0));
		Request request = new Request(id, organisation, spec.name(), priority(exchange), deadlineNanos, true,
				PromptPrefix.hash(tree), cost(body.length, tokens));
		return new CallerCall(request, requestId, "POST", CHAT, headers(exchange, requestId), body,
				tree.path("stream").asBoolean(false), Optional.empty(), answer);
	}

	private CallerCall plainServiceCall(long id, String requestId, String organisation, long deadlineNanos,
			HttpServerExchange exchange, byte[] body, EntryView view, AnswerSink answer) {
		String rest = exchange.getRequestURI().substring(SERVICES.length());
		int slash = rest.indexOf('/');
		String name = (slash < 0) ? rest : rest.substring(0, slash);
		ServiceSpec spec = view.service(name)
			.filter((found) -> found.kind() == ServiceSpec.Kind.PLAIN)
			.orElseThrow(() -> CodedException.of(SERVICE_UNKNOWN, "\"" + printable(name) + "\""));
		String method = exchange.getRequestMethod().toString();
		if (!METHODS.contains(method)) {
			throw CodedException.of(METHOD_UNKNOWN, printable(method));
		}
		boolean idempotent = IDEMPOTENT.contains(method);
		Optional<IdempotencyKey> key = idempotent ? Optional.empty() : Optional.of(key(exchange.getRequestHeaders()));
		String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
		String path = ((slash < 0) ? "/" : rest.substring(slash)) + query;
		Request request = new Request(id, organisation, spec.name(), priority(exchange), deadlineNanos, idempotent, 0,
				cost(body.length, 0));
		return new CallerCall(request, requestId, method, path, headers(exchange, requestId), body, false, key, answer);
	}

	private static IdempotencyKey key(HeaderMap headers) {
		String text = headers.getFirst(CallerHeaders.IDEMPOTENCY_KEY);
		if (text == null || text.isBlank()) {
			throw CodedException.of(KEY_MISSING, "send " + CallerHeaders.IDEMPOTENCY_KEY);
		}
		if (!IdempotencyKeyParser.isWellFormed(text)) {
			throw CodedException.of(HEADER_INVALID,
					CallerHeaders.IDEMPOTENCY_KEY + " takes 1 to 128 printable ASCII characters without spaces");
		}
		return IdempotencyKeyParser.parse(text, headers.getFirst(CallerHeaders.IDEMPOTENCY_KEY_TIME))
			.orElseThrow(() -> CodedException.of(KEY_WITHOUT_TIME, "begin the key with milliseconds since 1970 and"
					+ " a dash, use a version 7 UUID, or send " + CallerHeaders.IDEMPOTENCY_KEY_TIME));
	}

	private static JsonNode chatBody(byte[] body) {
		try {
			JsonNode tree = MAPPER.readTree(body);
			if (tree != null && tree.isObject() && tree.path("model").isTextual() && tree.path("messages").isArray()) {
				return tree;
			}
		}
		catch (IOException ex) {
			throw CodedException.of(BODY_MALFORMED, "not JSON");
		}
		throw CodedException.of(BODY_MALFORMED, "needs \"model\" (text) and \"messages\" (list)");
	}

	private static boolean serves(ServiceSpec spec, String model) {
		return model.equals(spec.name()) || model.equals(spec.model()) || spec.adapters().contains(model);
	}

	private static Priority priority(HttpServerExchange exchange) {
		String text = exchange.getRequestHeaders().getFirst(CallerHeaders.PRIORITY);
		if (text == null) {
			return Priority.NORMAL;
		}
		return switch (text.trim().toLowerCase(Locale.ROOT)) {
			case "urgent" -> Priority.URGENT;
			case "normal" -> Priority.NORMAL;
			case "bulk" -> Priority.BULK;
			default ->
				throw CodedException.of(HEADER_INVALID, CallerHeaders.PRIORITY + " takes urgent, normal or bulk");
		};
	}

	// A typical short request has a body of a few kilobytes and asks for a few hundred
	// tokens, and so costs 1.
	private static int cost(int bytes, int tokens) {
		return Math.min(MAX_COST, 1 + bytes / BYTES_PER_COST + tokens / TOKENS_PER_COST);
	}

	private static List<Map.Entry<String, String>> headers(HttpServerExchange exchange, String requestId) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		exchange.getRequestHeaders().forEach((header) -> {
			String name = header.getHeaderName().toString();
			if (!WITHHELD_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				header.forEach((value) -> headers.add(Map.entry(name, value)));
			}
		});
		headers.add(Map.entry(CallerHeaders.REQUEST_ID, requestId));
		return headers;
	}

	private static String printable(String text) {
		String clean = text.replaceAll("[^\\x20-\\x7e]", "?");
		return (clean.length() > 64) ? clean.substring(0, 64) : clean;
	}

}
