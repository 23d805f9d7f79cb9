package org.wisteriapost.policy.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Requests that this entry or another has refused, so that they are known when their
 * callers come back.
 *
 * Load: more than the engines can answer, so that a part of what arrives has been refused
 * before. Harm prevented: an answer that is late already takes the slot of one that can
 * be in time. How much time a caller gives says little of that: first attempts differ in
 * it by a sixth and more, and judged by it half of them were held for late ones, given
 * the last rank at their engine and refused first. So a caller counts as one that came
 * back only if its request was refused; where that is not known it is a first attempt.
 */
final class RefusedRequests {

	// Two requests may be about one prompt. Their callers' deadlines differ then; those
	// of two attempts agree to within a twentieth of the time that callers give.
	private static final double DEADLINE_SHARE = 0.1;

	// Some ten seconds of refusals of a fleet under twice its load.
	private static final int MOST = 4096;

	private final Map<Long, RefusedRequest> refused = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, RefusedRequest> eldest) {
			return size() > MOST;
		}

	};

	void note(RefusedRequest request) {
		this.refused.put(request.request(), request);
	}

	/**
	 * Returns the refusal of an earlier attempt, if this is known to be a later one.
	 */
	Optional<RefusedRequest> of(Job job) {
		if (job.request().isEmpty()) {
			return Optional.empty();
		}
		double most = DEADLINE_SHARE * job.route().timeout().toNanos();
		return Optional.ofNullable(this.refused.get(job.request().getAsLong()))
			.filter((one) -> one.askedNanos() < job.arrivedNanos())
			.filter((one) -> Math.abs(one.deadlineNanos() - job.deadlineNanos()) < most);
	}

}
