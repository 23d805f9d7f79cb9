package org.wisteriapost.agent;

import java.util.LinkedHashMap;
import java.util.Map;

import org.wisteriapost.protocol.http.CallSeries;

/**
 * The calls of the latest requests. An entry may send a request that the runner has
 * turned away once more, and the runner's answers to both bear the same id.
 */
final class RecentSeries {

	// More than a runner answers while one request is repeated.
	private static final int MAX_REQUESTS = 2048;

	private final Map<String, CallSeries> byRequest = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, CallSeries> eldest) {
			return size() > MAX_REQUESTS;
		}

	};

	/**
	 * Returns the calls of a request.
	 */
	synchronized CallSeries of(String requestId) {
		return this.byRequest.computeIfAbsent(requestId, (id) -> CallSeries.create());
	}

}
