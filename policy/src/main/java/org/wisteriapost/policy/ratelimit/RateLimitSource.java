package org.wisteriapost.policy.ratelimit;

import java.time.Duration;

/**
 * From whom an entry knows the limit of a runner.
 */
public sealed interface RateLimitSource {

	/**
	 * An answer of the runner.
	 *
	 * @param attemptId the request that it answers
	 * @param dispatch the number of the dispatch
	 * @param requestAge the time since the request was sent
	 */
	record Answer(String attemptId, int dispatch, Duration requestAge) implements RateLimitSource {
	}

	/**
	 * A report of another entry.
	 *
	 * @param peer its name
	 * @param age how old it states that its knowledge is
	 */
	record Report(String peer, Duration age) implements RateLimitSource {
	}

}
