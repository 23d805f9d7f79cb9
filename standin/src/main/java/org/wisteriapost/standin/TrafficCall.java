package org.wisteriapost.standin;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpCall;

/**
 * A request that may take several attempts, and the check of its response.
 */
sealed interface TrafficCall {

	/** Result of the check of a response. */
	enum Verdict {

		/** Complete and correct. */
		CORRECT,
		/** Visibly truncated; the part received is correct. */
		TRUNCATED,
		/** Generated with more than one set of weights. */
		MIXED,
		/** Any other deviation. */
		WRONG

	}

	HttpCall httpCall(URI entry, Duration timeout);

	Verdict evaluate(BufferedResponse response);

	/**
	 * A chat completion.
	 *
	 * @param service the name that the client uses
	 * @param prompt unique to this request
	 * @param tokens number of tokens to generate
	 * @param stream whether to use server-sent events
	 */
	record Completion(String service, String prompt, int tokens, boolean stream) implements TrafficCall {

		@Override
		public HttpCall httpCall(URI entry, Duration timeout) {
			String body = "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}"
				.formatted(this.service, this.stream, this.tokens, this.prompt);
			return HttpCall.of("POST", entry.resolve("/v1/chat/completions"), timeout)
				.header("Content-Type", "application/json")
				.body(body.getBytes(StandardCharsets.UTF_8));
		}

		@Override
		public Verdict evaluate(BufferedResponse response) {
			if (response.failed() && !this.stream) {
				return Verdict.TRUNCATED;
			}
			ChatCompletion received = this.stream ? ChatCompletion.ofEvents(response.text())
					: ChatCompletion.ofBody(response.text());
			String weights = response.header(CallerHeaders.WEIGHTS).orElse("");
			int matching = EngineTokens.countMatching(weights, this.prompt, received.text());
			if (!received.text().equals(EngineTokens.answer(weights, this.prompt, matching))) {
				return (matching > 0) ? Verdict.MIXED : Verdict.WRONG;
			}
			if (received.complete()) {
				return (matching == this.tokens) ? Verdict.CORRECT : Verdict.WRONG;
			}
			// A short completion with a proper end would be taken for complete.
			return response.failed() ? Verdict.TRUNCATED : Verdict.WRONG;
		}

	}

	/**
	 * An idempotent lookup.
	 *
	 * @param service the name that the client uses
	 * @param key the key to look up
	 */
	record Lookup(String service, String key) implements TrafficCall {

		@Override
		public HttpCall httpCall(URI entry, Duration timeout) {
			return HttpCall.of("GET", entry.resolve("/services/" + this.service + "/lookup/" + this.key), timeout);
		}

		@Override
		public Verdict evaluate(BufferedResponse response) {
			if (response.failed()) {
				return Verdict.TRUNCATED;
			}
			PlainServer.LookupResult found = Json.read(response.body(), PlainServer.LookupResult.class);
			boolean matching = found.equals(new PlainServer.LookupResult(this.key, PlainServer.lookup(this.key)));
			return matching ? Verdict.CORRECT : Verdict.WRONG;
		}

	}

	/**
	 * An allocation, which must not run twice and is retried only with its idempotency
	 * key.
	 *
	 * @param service the name that the client uses
	 * @param key the idempotency key
	 */
	record Allocation(String service, String key) implements TrafficCall {

		@Override
		public HttpCall httpCall(URI entry, Duration timeout) {
			return HttpCall.of("POST", entry.resolve("/services/" + this.service + "/allocate"), timeout)
				.header(CallerHeaders.IDEMPOTENCY_KEY, this.key);
		}

		@Override
		public Verdict evaluate(BufferedResponse response) {
			if (response.failed()) {
				return Verdict.TRUNCATED;
			}
			PlainServer.Execution made = Json.read(response.body(), PlainServer.Execution.class);
			return made.key().equals(this.key) ? Verdict.CORRECT : Verdict.WRONG;
		}

	}

}
