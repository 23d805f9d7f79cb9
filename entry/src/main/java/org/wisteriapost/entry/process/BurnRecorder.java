package org.wisteriapost.entry.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.entry.caller.Outcome;
import org.wisteriapost.policy.burn.BurnJudge;
import org.wisteriapost.policy.burn.BurnLedger;
import org.wisteriapost.policy.burn.BurnSnapshot;
import org.wisteriapost.policy.burn.Objective;
import org.wisteriapost.policy.burn.Result;
import org.wisteriapost.policy.burn.Series;
import org.wisteriapost.policy.request.Request;

/**
 * Counts final answers against the service-level objectives. Updated by the event loop
 * and read by the timer that writes snapshots to the platform.
 */
final class BurnRecorder {

	private final BurnLedger ledger = BurnLedger.create();

	private final Map<Long, Long> firstByteMillis = new HashMap<>();

	private final BurnJudge classifier;

	private BurnRecorder(BurnJudge classifier) {
		this.classifier = classifier;
	}

	/**
	 * Returns a recorder that classifies answers by these objectives.
	 */
	static BurnRecorder of(List<Objective> objectives) {
		return new BurnRecorder(BurnJudge.of(objectives));
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
		this.ledger.count(new Series(request.service(), request.organisation()), result(request, outcome, firstByte),
				nowMillis);
	}

	synchronized BurnSnapshot snapshot(String vm, long nowMillis) {
		return this.ledger.snapshot(vm, nowMillis);
	}

	private Result result(Request request, Outcome outcome, Long firstByte) {
		return switch (outcome) {
			case RAN -> this.classifier.answered(request.service(), request.organisation(),
					(firstByte != null) ? firstByte : 0);
			case NOT_RUN -> Result.REFUSED;
			// The caller saw an answer that started and then broke off.
			case UNKNOWN -> (firstByte != null) ? Result.FAILED : Result.UNKNOWN;
		};
	}

}
