package org.wisteriapost.entry.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.entry.caller.Outcome;
import org.wisteriapost.policy.burn.BurnSnapshot;
import org.wisteriapost.policy.burn.LatencyClassifier;
import org.wisteriapost.policy.burn.Objective;
import org.wisteriapost.policy.burn.RequestCounter;
import org.wisteriapost.policy.burn.RequestResult;
import org.wisteriapost.policy.burn.RequestSeries;
import org.wisteriapost.policy.request.Request;

/**
 * Turns final answers into service-level figures. Written to by the event loop, read by
 * the timer that takes them to the platform.
 */
final class BurnRecorder {

	private final RequestCounter ledger = RequestCounter.create();

	private final Map<Long, Long> firstByteMillis = new HashMap<>();

	private final LatencyClassifier judge;

	private BurnRecorder(LatencyClassifier judge) {
		this.judge = judge;
	}

	/**
	 * Returns a recorder that tells late answers by these objectives.
	 */
	static BurnRecorder of(List<Objective> objectives) {
		return new BurnRecorder(LatencyClassifier.of(objectives));
	}

	synchronized void started(Request request, long tookNanos) {
		this.firstByteMillis.put(request.id(), TimeUnit.NANOSECONDS.toMillis(tookNanos));
	}

	/**
	 * Counts a final answer. One whose caller hung up is not the service's failure and is
	 * left out.
	 */
	synchronized void answered(Request request, Outcome outcome, String code, long nowMillis) {
		Long firstByte = this.firstByteMillis.remove(request.id());
		if (code.equals(Calls.CALLER_GONE.name())) {
			return;
		}
		this.ledger.count(new RequestSeries(request.service(), request.organisation()),
				result(request, outcome, firstByte), nowMillis);
	}

	synchronized BurnSnapshot snapshot(String vm, long nowMillis) {
		return this.ledger.snapshot(vm, nowMillis);
	}

	private RequestResult result(Request request, Outcome outcome, Long firstByte) {
		return switch (outcome) {
			case RAN ->
				this.judge.classify(request.service(), request.organisation(), (firstByte != null) ? firstByte : 0);
			case NOT_RUN -> RequestResult.REFUSED;
			// An answer whose first byte went out and that was then given up was cut
			// before
			// the caller's eyes.
			case UNKNOWN -> (firstByte != null) ? RequestResult.FAILED : RequestResult.UNKNOWN;
		};
	}

}
