package org.wisteriapost.policy.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Requests that this entry has lately received a complete response to. Many callers may
 * send requests with the same content, which would otherwise be suspected of each crash
 * in the fleet.
 */
final class CompletedRequests {

	// A minute of requests at some 70 a second.
	private static final int MAX_REQUESTS = 4096;

	private final Map<Long, Long> begunNanos = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_REQUESTS;
		}

	};

	/**
	 * Records that a run of a request which began then was completed.
	 */
	void add(long contentHash, long begun) {
		Long known = this.begunNanos.remove(contentHash);
		this.begunNanos.put(contentHash, (known != null) ? Math.max(known, begun) : begun);
	}

	boolean contains(long contentHash) {
		return this.begunNanos.containsKey(contentHash);
	}

	/**
	 * Returns when the latest run of a request that was completed began, if that was
	 * lately.
	 */
	OptionalLong begunNanos(long contentHash, long nowNanos) {
		Long begun = this.begunNanos.get(contentHash);
		boolean lately = begun != null && nowNanos - begun < SuspectRequest.COMPLETION_TTL.toNanos();
		return lately ? OptionalLong.of(begun) : OptionalLong.empty();
	}

}
