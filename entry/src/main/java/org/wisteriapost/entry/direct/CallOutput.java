package org.wisteriapost.entry.direct;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Performs the I/O that the state thread decides on. No method blocks.
 */
interface CallOutput {

	/**
	 * Sends a request to a runner.
	 */
	void send(DirectCall call, DispatchEffect.Send send);

	/**
	 * Checks whether a runner accepts connections and reports it by
	 * {@link DirectEvent.RunnerChecked}.
	 */
	void check(RunnerInfo runner);

	/**
	 * Cancels a dispatch of a request.
	 * @param dispatch its number
	 */
	void stop(DirectCall call, int dispatch);

	/**
	 * Answers that a request did not run and will not, so that the caller may retry it.
	 */
	void refuse(DirectCall call, Code code, long retryAfterMillis);

	/**
	 * Answers that a request is invalid, so that the caller does not retry it.
	 */
	void reject(IncomingRequest request, int status, Code code);

	/**
	 * Answers that a request was not admitted, so that the caller may retry it.
	 */
	void refuse(IncomingRequest request, Code code, long retryAfterMillis);

	/**
	 * Ends a request that may have run with an error.
	 */
	void fail(DirectCall call, Code code, boolean timeout);

	/**
	 * Forwards the error response of the runner to the caller.
	 */
	void forwardRunnerFailure(DirectCall call);

}
