package org.wisteriapost.entry.caller;

import java.math.BigDecimal;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A final answer without a run's content.
 *
 * @param status the HTTP status
 * @param code the stable code
 * @param message one sentence for people
 * @param outcome what is known of the run
 * @param retryAfterMillis when to come back, 0 when coming back unchanged is of no use
 * @param entries other addresses to use, empty for none
 */
public record Refusal(int status, String code, String message, Outcome outcome, long retryAfterMillis,
		List<String> entries) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long SECOND_MILLIS = TimeUnit.SECONDS.toMillis(1);

	public Refusal {
		entries = List.copyOf(entries);
	}

	/**
	 * Returns an answer to a request that is wrong in itself; nothing was started.
	 */
	public static Refusal bad(int status, String code, String message) {
		return new Refusal(status, code, message, Outcome.NOT_RUN, 0, List.of());
	}

	/**
	 * Returns an answer that turns a request away for now; nothing was started.
	 */
	public static Refusal later(String code, String message, long retryAfterMillis) {
		return new Refusal(503, code, message, Outcome.NOT_RUN, Math.max(1, retryAfterMillis), List.of());
	}

	/**
	 * Returns an answer that does not know whether the request ran.
	 */
	public static Refusal unknown(int status, String code, String message) {
		return new Refusal(status, code, message, Outcome.UNKNOWN, 0, List.of());
	}

	/**
	 * Returns this answer with a time to come back.
	 */
	public Refusal retryAfter(long millis) {
		return new Refusal(this.status, this.code, this.message, this.outcome, millis, this.entries);
	}

	/**
	 * Returns the whole seconds to come back after, rounded up: a caller that can only
	 * count seconds must not come back too early.
	 */
	long retryAfterSeconds() {
		return (this.retryAfterMillis + SECOND_MILLIS - 1) / SECOND_MILLIS;
	}

	/**
	 * Returns the seconds to come back after, with fractions.
	 */
	String retryAfterFraction() {
		return BigDecimal.valueOf(this.retryAfterMillis, 3).toPlainString();
	}

	/**
	 * Returns the body.
	 */
	byte[] json(String requestId) {
		ObjectNode root = MAPPER.createObjectNode();
		ObjectNode error = root.putObject("error");
		error.put("code", this.code).put("message", this.message).put("requestId", requestId);
		if (!this.entries.isEmpty()) {
			this.entries.forEach(root.putArray("entries")::add);
		}
		try {
			return MAPPER.writeValueAsBytes(root);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a tree of texts always encodes", ex);
		}
	}

}
