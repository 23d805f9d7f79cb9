package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.entry.caller.CallerAnswer;
import org.wisteriapost.protocol.site.CallerFields;

/**
 * One caller's request, read whole.
 *
 * @param id numbers the requests of this process
 * @param method as sent
 * @param host lower-case, without a port
 * @param path as sent, without the query
 * @param target as sent, path and query
 * @param headers to hand on: without those of one connection and those that the system
 * sets
 * @param token the bearer token, when there is one
 * @param fields what the site's headers say
 * @param body whole
 * @param answer where the answer goes
 * @param nanos when its head was read
 */
record Arrival(long id, String method, String host, String path, String target, Map<String, String> headers,
		Optional<String> token, CallerFields fields, byte[] body, CallerAnswer answer, long nanos) {

	Arrival {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns the headers of a request that concern more than one connection.
	 */
	static boolean endToEnd(String lowerCaseName, List<String> named) {
		return !HopHeaders.contains(lowerCaseName) && !named.contains(lowerCaseName);
	}

}
