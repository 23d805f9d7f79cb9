package org.wisteriapost.policy.request;

/**
 * Actions that {@link RequestStateMachine} requests from the I/O layer.
 */
public sealed interface RequestEffect {

	long id();

	/**
	 * Claims the request's idempotency key in the platform before the request is sent;
	 * answered by {@link RequestEvent.Claimed} or {@link RequestEvent.ClaimFailed}.
	 *
	 * @param id the request
	 */
	record Claim(long id) implements RequestEffect {
	}

	/**
	 * Sends the request to a runner.
	 *
	 * @param id the request
	 * @param runner the endpoint VM
	 * @param weightsDigest the weights that must produce the answer; empty for a plain
	 * service
	 */
	record Dispatch(long id, String runner, String weightsDigest) implements RequestEffect {
	}

	/**
	 * Gives the caller its final answer: the request did not run and may be retried.
	 *
	 * @param id the request
	 * @param code the refusal's code
	 * @param retryAfterMillis when to retry, estimated from the backlog
	 */
	record Refuse(long id, String code, long retryAfterMillis) implements RequestEffect {
	}

	/**
	 * Gives the caller its final answer: the request may have run. If the response header
	 * has already been sent, the response is cut off so that the caller notices.
	 *
	 * @param id the request
	 * @param code the reason
	 */
	record AnswerUnknown(long id, String code) implements RequestEffect {
	}

	/**
	 * Cancels the request at a runner.
	 *
	 * @param id the request
	 * @param runner the endpoint VM
	 */
	record Cancel(long id, String runner) implements RequestEffect {
	}

}
