package org.wisteriapost.entry.process;

import java.util.List;
import java.util.Map;

import org.wisteriapost.entry.caller.CallerCall;

/**
 * Keeps the records of calls that may run at most once. Calls without a key are ignored.
 */
interface ClaimDesk {

	/**
	 * Claims a call's key; the desk tells the calls what became of it.
	 */
	void claim(CallerCall call);

	/**
	 * The call ran and this is its whole answer.
	 */
	void ran(CallerCall call, int status, List<Map.Entry<String, String>> headers, byte[] body);

	/**
	 * The call ran and its answer was too large to keep.
	 */
	void ranUnstored(CallerCall call);

	/**
	 * It is certain that the call did not run and will not.
	 */
	void notRun(CallerCall call);

	/**
	 * The call may have run.
	 */
	void unknown(CallerCall call);

}
