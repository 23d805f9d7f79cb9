package org.wisteriapost.policy.dispatch;

import java.util.Optional;
import java.util.OptionalInt;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * An action on a request that the dispatcher has decided and its caller carries out.
 */
public sealed interface DispatchEffect {

	Job job();

	/**
	 * Sends the request to a runner.
	 *
	 * @param job the request
	 * @param dispatch the number of the dispatch
	 * @param runner the target runner
	 * @param rank admission rank at the runner, from 0 (first) to 9 (last)
	 * @param weightsVersion the only weights version on which the request may run, if it
	 * matters
	 * @param requiresNewConnection whether the request may only be sent over a newly
	 * established connection, because the network path to the runner may be blocked
	 * @param events the events that the caller had been sent when this was decided
	 * @param hedged the dispatch that stays open beside this one, as its runner is silent
	 */
	record Send(Job job, int dispatch, RunnerInfo runner, int rank, OptionalInt weightsVersion,
			boolean requiresNewConnection, int events, Optional<Hedged> hedged) implements DispatchEffect {
	}

	/**
	 * A dispatch at a silent runner.
	 *
	 * @param dispatch its number
	 * @param idleMillis the time since the last output of the runner, or since the
	 * request was sent to it
	 */
	record Hedged(int dispatch, long idleMillis) {
	}

	/**
	 * Cancels a dispatch of the request and closes its connection to the runner.
	 *
	 * @param job the request
	 * @param dispatch the number of the dispatch
	 * @param reason why the dispatch is given up
	 * @param idleMillis the time since the last output of the runner, or since the
	 * request was sent to it
	 */
	record Cancel(Job job, int dispatch, CancelReason reason, long idleMillis) implements DispatchEffect {
	}

	/**
	 * Refuses the request. No runner has executed it or will.
	 *
	 * @param job the request
	 * @param code the reason
	 * @param retryAfterMillis the delay after which the caller should retry; 0 if it
	 * should not
	 */
	record Refuse(Job job, Code code, long retryAfterMillis) implements DispatchEffect {
	}

	/**
	 * Fails the request. A runner may have executed it, but no complete response is
	 * available.
	 *
	 * @param job the request
	 * @param code the reason
	 * @param timeout whether the deadline passed, as opposed to a runner failure
	 */
	record Fail(Job job, Code code, boolean timeout) implements DispatchEffect {
	}

	/**
	 * Forwards the error response of the runner to the caller.
	 *
	 * @param job the request
	 */
	record ForwardError(Job job) implements DispatchEffect {
	}

}
