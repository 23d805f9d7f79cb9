package org.wisteriapost.policy.dispatch;

import java.util.OptionalInt;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * What is to be done with a request.
 */
public sealed interface DispatchEffect {

	/**
	 * Returns the request.
	 */
	Job job();

	/**
	 * Send it to a runner.
	 *
	 * @param job the request
	 * @param runner to whom
	 * @param rank 0 to 9, 0 is admitted first by the runner
	 * @param weightsVersion the only version it may run on, when that matters
	 * @param tries whether it may leave only over a connection that is made for it, since
	 * the way to the runner may be closed
	 */
	record Send(Job job, RunnerInfo runner, int rank, OptionalInt weightsVersion,
			boolean tries) implements DispatchEffect {
	}

	/**
	 * Stop listening to the runner that has it; its connection is closed.
	 *
	 * @param job the request
	 */
	record Stop(Job job) implements DispatchEffect {
	}

	/**
	 * Give it its final answer: it has not run and will not.
	 *
	 * @param job the request
	 * @param code why
	 * @param retryAfterMillis when to come back
	 */
	record Refuse(Job job, Code code, long retryAfterMillis) implements DispatchEffect {
	}

	/**
	 * Give it its final answer: it may have run and there is no whole answer.
	 *
	 * @param job the request
	 * @param code why
	 * @param timeout whether time ran out, rather than a runner failed
	 */
	record Fail(Job job, Code code, boolean timeout) implements DispatchEffect {
	}

	/**
	 * Pass on the failure that a runner gave as its answer.
	 *
	 * @param job the request
	 */
	record PassOn(Job job) implements DispatchEffect {
	}

}
