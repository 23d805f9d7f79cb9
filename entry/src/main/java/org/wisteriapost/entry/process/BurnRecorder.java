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
 * Counts final answers against the service-level objectives. Updated by the event loop
 * and read by the timer that writes snapshots to the platform.
 */
final class BurnRecorder {

	private final RequestCounter ledger = RequestCounter.create();

	private final Map<Long, Long> firstByteMillis = new HashMap<>();

	private final LatencyClassifier classifier;

	private BurnRecorder(LatencyClassifier classifier) {
		this.classifier = classifier;
	}

	/**
	 * Returns a recorder that classifies answers by these objectives.
	 */
	static BurnRecorder of(List<Objective> objectives) {
		return new BurnRecorder(LatencyClassifier.of(objectives));
	}

	synchronized void started(Request request, long tookNanos) {
		this.firstByteMillis.put(request.id(), TimeUnit.NANOSECONDS.toMillis(tookNanos));
	}

	/**
	 * Counts a final answer. A request whose caller disconnected is not a failure of the
	 * service and is not counted.
	 */
	synchronized void answered(Request request, Outcome outcome, String code, long nowMillis) {
		Long firstByte = this.firstByteMillis.remove(request.id());
		if (code.equals(ActiveRequests.CALLER_GONE.name())) {
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
			case RAN -> this.classifier.classify(request.service(), request.organisation(),
					(firstByte != null) ? firstByte : 0);
			case NOT_RUN -> RequestResult.REFUSED;
			// The caller saw an answer that started and then broke off.
			case UNKNOWN -> (firstByte != null) ? RequestResult.FAILED : RequestResult.UNKNOWN;
		};
	}

}
