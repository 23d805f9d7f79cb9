package org.wisteriapost.policy.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Recently refused requests of this entry and its peers, used to recognize retries.
 *
 * Under overload a part of the arriving requests are retries that have already missed
 * their latency target, and they must not take slots from requests that can still meet
 * it. The remaining time to the deadline does not identify retries: it varies by a sixth
 * and more between first attempts, so about half of these would be given the last rank
 * and refused first. A request counts as a retry only if a matching refusal is known.
 */
final class RefusedRequests {

	// Different requests can have the same key, but their deadlines differ. The
	// deadlines of two attempts of one request agree to within 5 % of the timeout.
	private static final double DEADLINE_TOLERANCE = 0.1;

	// About ten seconds of refusals at twice the capacity of the fleet.
	private static final int MAX_ENTRIES = 4096;

	private final Map<Long, RefusedRequest> refused = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, RefusedRequest> eldest) {
			return size() > MAX_ENTRIES;
		}

	};

	void add(RefusedRequest request) {
		this.refused.put(request.requestKey(), request);
	}

	/**
	 * Returns the refusal of an earlier attempt of the request, if one is known.
	 */
	Optional<RefusedRequest> earlierAttempt(Job job) {
		if (job.requestKey().isEmpty()) {
			return Optional.empty();
		}
		double toleranceNanos = DEADLINE_TOLERANCE * job.route().timeout().toNanos();
		return Optional.ofNullable(this.refused.get(job.requestKey().getAsLong()))
			.filter((refusal) -> refusal.firstAttemptNanos() < job.arrivedNanos())
			.filter((refusal) -> Math.abs(refusal.deadlineNanos() - job.deadlineNanos()) < toleranceNanos);
	}

}
