package org.wisteriapost.entry.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.request.Request;

/**
 * A caller's request that was read completely and is valid.
 *
 * @param request the properties that scheduling depends on
 * @param requestId identifies the request in logs
 * @param method the HTTP method
 * @param path the path and query as the runner expects them
 * @param headers the headers to pass to the runner
 * @param body the body
 * @param streamed whether the caller asked for a stream; otherwise the answer is buffered
 * until it is complete
 * @param key the idempotency key of a call that must not run twice
 * @param answer receives the answer
 */
public record CallerCall(Request request, String requestId, String method, String path,
		List<Map.Entry<String, String>> headers, byte[] body, boolean streamed, Optional<IdempotencyKey> key,
		AnswerSink answer) {

	/**
	 * Returns the request's id, which is unique within this process.
	 */
	public long id() {
		return this.request.id();
	}

}
