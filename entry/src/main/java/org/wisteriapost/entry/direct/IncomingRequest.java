package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.entry.caller.CallerAnswer;
import org.wisteriapost.protocol.site.CallerRequestFields;

/**
 * A caller's request, including its complete body.
 *
 * @param id unique among the requests of this process
 * @param method as sent
 * @param host lower-case, without a port
 * @param path as sent, without the query
 * @param target as sent, path and query
 * @param headers those to forward: without hop-by-hop headers and headers that the system
 * sets
 * @param token the bearer token, if any
 * @param fields the values of the site's own headers
 * @param body complete
 * @param answer receives the answer
 * @param arrivedNanos when the request's head was read, on the monotonic clock
 */
record IncomingRequest(long id, String method, String host, String path, String target, Map<String, String> headers,
		Optional<String> token, CallerRequestFields fields, byte[] body, CallerAnswer answer, long arrivedNanos) {

	IncomingRequest {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns whether a header is end-to-end, so that it is forwarded.
	 * @param connectionOptions the names listed in the message's Connection header
	 */
	static boolean isEndToEnd(String lowerCaseName, List<String> connectionOptions) {
		return !HopByHopHeaders.contains(lowerCaseName) && !connectionOptions.contains(lowerCaseName);
	}

}
