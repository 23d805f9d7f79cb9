package org.wisteriapost.policy.request;

/**
 * Everything that the request decisions ask the I/O layer to do.
 */
public sealed interface RequestEffect {

	/**
	 * Returns the request it is about.
	 */
	long id();

	/**
	 * Claim the request's idempotency key in the platform before anything is sent;
	 * answered by {@link RequestEvent.Claimed} or {@link RequestEvent.ClaimLost}.
	 *
	 * @param id the request
	 */
	record Claim(long id) implements RequestEffect {
	}

	/**
	 * Send the request to a runner.
	 *
	 * @param id the request
	 * @param runner the endpoint VM
	 * @param weightsDigest what it must be answered with; empty for a plain service
	 */
	record Dispatch(long id, String runner, String weightsDigest) implements RequestEffect {
	}

	/**
	 * Give the caller its final answer now: not run, come back later.
	 *
	 * @param id the request
	 * @param code the refusal's code
	 * @param retryAfterMillis an honest time to come back
	 */
	record Refuse(long id, String code, long retryAfterMillis) implements RequestEffect {
	}

	/**
	 * Give the caller its final answer now: it may have run. After the answer's head has
	 * gone out this means to cut the answer visibly.
	 *
	 * @param id the request
	 * @param code why
	 */
	record GiveUp(long id, String code) implements RequestEffect {
	}

	/**
	 * Cancel the request's work at a runner.
	 *
	 * @param id the request
	 * @param runner the endpoint VM
	 */
	record Cancel(long id, String runner) implements RequestEffect {
	}

}
