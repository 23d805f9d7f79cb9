package org.wisteriapost.entry.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.request.Request;

/**
 * One caller's request, read whole and found to be in order.
 *
 * @param request what the decisions need to know
 * @param requestId names it in logs
 * @param method the HTTP method
 * @param path as the runner expects it, with the query
 * @param headers to pass on
 * @param body the whole body
 * @param streamed whether the caller asked for a stream; otherwise the answer is held
 * back until it is whole
 * @param key the idempotency key of a call that may not run twice
 * @param answer where its answer goes
 */
public record CallerCall(Request request, String requestId, String method, String path,
		List<Map.Entry<String, String>> headers, byte[] body, boolean streamed, Optional<CallKey> key,
		AnswerSink answer) {

	/**
	 * Returns the request's number in this process.
	 */
	public long id() {
		return this.request.id();
	}

}
