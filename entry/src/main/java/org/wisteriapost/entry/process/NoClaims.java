package org.wisteriapost.entry.process;

import java.util.List;
import java.util.Map;

import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.caller.Refusal;

/**
 * For now: refuses calls that may run at most once.
 */
final class NoClaims implements ClaimDesk {

	@Override
	public void claim(CallerCall call) {
		call.answer().refuse(Refusal.later("claims-unavailable", "Not built yet.", 1000));
	}

	@Override
	public void ran(CallerCall call, int status, List<Map.Entry<String, String>> headers, byte[] body) {
	}

	@Override
	public void ranUnstored(CallerCall call) {
	}

	@Override
	public void notRun(CallerCall call) {
	}

	@Override
	public void unknown(CallerCall call) {
	}

}
