package org.wisteriapost.entry.process;

import java.util.List;
import java.util.Map;

import org.wisteriapost.entry.caller.CallerCall;

/**
 * Records calls that may run at most once, by idempotency key. Calls without a key are
 * ignored.
 */
interface IdempotencyClaims {

	/**
	 * Claims a call's key. The result is passed to {@link ActiveRequests}.
	 */
	void claim(CallerCall call);

	/**
	 * Records that the call ran, with its complete answer.
	 */
	void ran(CallerCall call, int status, List<Map.Entry<String, String>> headers, byte[] body);

	/**
	 * Records that the call ran but its answer is too large to store.
	 */
	void ranAnswerNotStored(CallerCall call);

	/**
	 * Releases the key of a call that certainly did not run and will not.
	 */
	void notRun(CallerCall call);

	/**
	 * Records that the call may have run.
	 */
	void unknown(CallerCall call);

}
