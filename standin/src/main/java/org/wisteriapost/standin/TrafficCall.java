package org.wisteriapost.standin;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpCall;

/**
 * One request of a caller, which may take several attempts, and how its answer is
 * checked.
 */
sealed interface TrafficCall {

	/** How an answer compares with what was asked for. */
	enum Verdict {

		/** Whole and right. */
		RIGHT,
		/** Ended early, and says so; what came is right. */
		CUT,
		/** From two sets of weights. */
		MIXED,
		/** Anything else. */
		WRONG

	}

	HttpCall at(URI entry, Duration timeout);

	Verdict judge(CollectedAnswer answer);

	/**
	 * A chat completion.
	 *
	 * @param service as the caller names it
	 * @param prompt of this request alone
	 * @param tokens to be answered
	 * @param stream whether as server-sent events
	 */
	record Completion(String service, String prompt, int tokens, boolean stream) implements TrafficCall {

		@Override
		public HttpCall at(URI entry, Duration timeout) {
			String body = "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}"
				.formatted(this.service, this.stream, this.tokens, this.prompt);
			return HttpCall.of("POST", entry.resolve("/v1/chat/completions"), timeout)
				.header("Content-Type", "application/json")
				.body(body.getBytes(StandardCharsets.UTF_8));
		}

		@Override
		public Verdict judge(CollectedAnswer answer) {
			if (answer.failed() && !this.stream) {
				return Verdict.CUT;
			}
			CompletionAnswer said = this.stream ? CompletionAnswer.ofEvents(answer.text())
					: CompletionAnswer.ofBody(answer.text());
			String weights = answer.header(CallerHeaders.WEIGHTS).orElse("");
			int right = EngineTokens.matching(weights, this.prompt, said.text());
			if (!said.text().equals(EngineTokens.answer(weights, this.prompt, right))) {
				return (right > 0) ? Verdict.MIXED : Verdict.WRONG;
			}
			if (said.whole()) {
				return (right == this.tokens) ? Verdict.RIGHT : Verdict.WRONG;
			}
			// An answer that is short but ends as if it were whole would be believed.
			return answer.failed() ? Verdict.CUT : Verdict.WRONG;
		}

	}

	/**
	 * A lookup, which may be repeated.
	 *
	 * @param service as the caller names it
	 * @param key what is looked up
	 */
	record Lookup(String service, String key) implements TrafficCall {

		@Override
		public HttpCall at(URI entry, Duration timeout) {
			return HttpCall.of("GET", entry.resolve("/services/" + this.service + "/lookup/" + this.key), timeout);
		}

		@Override
		public Verdict judge(CollectedAnswer answer) {
			if (answer.failed()) {
				return Verdict.CUT;
			}
			PlainServer.Found found = Json.read(answer.body(), PlainServer.Found.class);
			boolean right = found.equals(new PlainServer.Found(this.key, PlainServer.lookup(this.key)));
			return right ? Verdict.RIGHT : Verdict.WRONG;
		}

	}

	/**
	 * An allocation, which must not run twice; it is repeated only with its key.
	 *
	 * @param service as the caller names it
	 * @param key of this allocation
	 */
	record Allocation(String service, String key) implements TrafficCall {

		@Override
		public HttpCall at(URI entry, Duration timeout) {
			return HttpCall.of("POST", entry.resolve("/services/" + this.service + "/allocate"), timeout)
				.header(CallerHeaders.IDEMPOTENCY_KEY, this.key);
		}

		@Override
		public Verdict judge(CollectedAnswer answer) {
			if (answer.failed()) {
				return Verdict.CUT;
			}
			PlainServer.Execution made = Json.read(answer.body(), PlainServer.Execution.class);
			return made.key().equals(this.key) ? Verdict.RIGHT : Verdict.WRONG;
		}

	}

}
