package org.wisteriapost.entry.direct;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.dispatch.DispatchEffect;

/**
 * What the state thread asks of the I/O around it; no method blocks.
 */
interface CallOutput {

	/**
	 * Sends a request to a runner.
	 */
	void send(DirectCall call, DispatchEffect.Send send);

	/**
	 * Stops listening to the runner that has a request.
	 */
	void stop(DirectCall call);

	/**
	 * Answers that a request has not run and will not.
	 */
	void refuse(DirectCall call, Code code, long retryAfterMillis);

	/**
	 * Answers that a request is wrong in itself.
	 */
	void reject(Arrival arrival, int status, Code code);

	/**
	 * Answers a request that was never taken up.
	 */
	void refuse(Arrival arrival, Code code, long retryAfterMillis);

	/**
	 * Ends a request that may have run.
	 */
	void fail(DirectCall call, Code code, boolean timeout);

	/**
	 * Hands on the failure that a runner gave.
	 */
	void passOn(DirectCall call);

}
