package org.wisteriapost.entry.caller;

import java.math.BigDecimal;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A final answer that carries an error instead of a result.
 *
 * @param status the HTTP status
 * @param code the stable code
 * @param message a sentence for people
 * @param outcome whether the request ran
 * @param retryAfterMillis when to retry, 0 if an unchanged request should not be retried
 * @param entries addresses of other entries, may be empty
 */
public record Refusal(int status, String code, String message, Outcome outcome, long retryAfterMillis,
		List<String> entries) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long SECOND_MILLIS = TimeUnit.SECONDS.toMillis(1);

	public Refusal {
		entries = List.copyOf(entries);
	}

	/**
	 * Returns the refusal of an invalid request, which was not started.
	 */
	public static Refusal invalidRequest(int status, String code, String message) {
		return new Refusal(status, code, message, Outcome.NOT_RUN, 0, List.of());
	}

	/**
	 * Returns a temporary refusal of a request, which was not started.
	 */
	public static Refusal temporary(String code, String message, long retryAfterMillis) {
		return new Refusal(503, code, message, Outcome.NOT_RUN, Math.max(1, retryAfterMillis), List.of());
	}

	/**
	 * Returns the answer to a request that may have run.
	 */
	public static Refusal outcomeUnknown(int status, String code, String message) {
		return new Refusal(status, code, message, Outcome.UNKNOWN, 0, List.of());
	}

	/**
	 * Returns this refusal with a time to retry.
	 */
	public Refusal withRetryAfter(long millis) {
		return new Refusal(this.status, this.code, this.message, this.outcome, millis, this.entries);
	}

	/**
	 * Returns the seconds until a retry, rounded up so that a caller which reads whole
	 * seconds does not retry too early.
	 */
	long retryAfterSeconds() {
		return (this.retryAfterMillis + SECOND_MILLIS - 1) / SECOND_MILLIS;
	}

	/**
	 * Returns the seconds until a retry, with milliseconds as a fraction.
	 */
	String retryAfterFractionalSeconds() {
		return BigDecimal.valueOf(this.retryAfterMillis, 3).toPlainString();
	}

	/**
	 * Returns the JSON body.
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
			throw new IllegalStateException("cannot encode a refusal", ex);
		}
	}

}
