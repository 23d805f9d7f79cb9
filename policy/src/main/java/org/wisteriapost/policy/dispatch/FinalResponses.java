package org.wisteriapost.policy.dispatch;

import java.util.function.Consumer;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.quarantine.RequestQuarantine;

/**
 * Emits the final response for requests that end without a runner's response.
 *
 * A request is refused, which tells its caller that it can be retried safely, only if no
 * runner may have executed it. Otherwise a request that must run at most once could run
 * twice.
 */
final class FinalResponses {

	/** No runner had free capacity in time. */
	static final Code NO_ROOM = Code.refusal("no-room", "Every runner has as much work as it can answer in time.");

	/** The runners that could be used limit their rate. */
	static final Code RUNNER_LIMIT = Code.refusal("runner-limit",
			"Every usable runner limits the rate of its requests, and the limit is used up.");

	/** All runners want no requests for a time. */
	static final Code RUNNER_RESTING = Code.refusal("runner-resting",
			"Every runner of the service has asked to be sent nothing for a time.");

	/** No runner of the service can be used. */
	static final Code NO_RUNNER = Code.refusal("no-usable-runner",
			"No runner of the service can be sent requests now.");

	/** No runner of the service is in an allowed region. */
	static final Code REGION_UNAVAILABLE = Code.refusal("region-unavailable",
			"No runner of the service is in a region that the request may be handled in.");

	/** The deadline of the request passed. */
	static final Code TIME_OVER = Code.warning("time-over", "No whole answer came in the request's time.");

	/** The response of the runner is incomplete and the request cannot be retried. */
	static final Code RUN_BROKEN = Code.warning("run-broken",
			"The runner's answer broke off and the request may not run again.");

	// Another process can answer at once.
	private static final long IMMEDIATE_RETRY_MILLIS = 20;

	private final AdmissionPolicy admission;

	private final Consumer<DispatchEffect> effects;

	FinalResponses(AdmissionPolicy admission, Consumer<DispatchEffect> effects) {
		this.admission = admission;
		this.effects = effects;
	}

	/**
	 * Ends a request whose latest dispatch has failed and that is not retried.
	 */
	void endWithoutRetry(Job job, DispatchOutcome outcome, long nowNanos) {
		job.refusedRequest().ifPresent(this.admission::recordRefusal);
		switch (outcome) {
			case ERROR -> this.effects.accept(new DispatchEffect.ForwardError(job));
			case FULL, MISDIRECTED, NOT_SENT -> endWithoutRunner(job, NO_ROOM, nowNanos);
			case DONE, DISCONNECTED, BROKEN -> this.effects.accept(new DispatchEffect.Fail(job, RUN_BROKEN, false));
		}
	}

	/**
	 * Ends a request whose deadline has passed.
	 */
	void deadlineExceeded(Job job, long nowNanos) {
		if (job.possibleRuns > 0) {
			this.effects.accept(new DispatchEffect.Fail(job, TIME_OVER, true));
			return;
		}
		refuse(job, TIME_OVER, this.admission.retryAfterMillis(job, nowNanos));
	}

	/**
	 * Ends a request for which no runner was found.
	 */
	void endWithoutRunner(Job job, Placement.Choice choice, long nowNanos) {
		if (!choice.isEmpty()) {
			endWithoutRunner(job, NO_ROOM, nowNanos);
			return;
		}
		if (choice.regionUnavailable()) {
			endWithoutRunner(job, REGION_UNAVAILABLE, nowNanos);
			return;
		}
		if (choice.restEndNanos().isPresent() && job.possibleRuns == 0) {
			long restMillis = Math.ceilDiv(choice.restEndNanos().getAsLong() - nowNanos, Placement.NANOS_PER_MILLI);
			refuse(job, RUNNER_RESTING, Math.max(restMillis, this.admission.retryAfterMillis(job, nowNanos)));
			return;
		}
		endWithoutRunner(job, choice.rateLimited() ? RUNNER_LIMIT : NO_RUNNER, nowNanos);
	}

	private void endWithoutRunner(Job job, Code code, long nowNanos) {
		if (job.possibleRuns > 0) {
			this.effects.accept(new DispatchEffect.Fail(job, RUN_BROKEN, false));
			return;
		}
		refuse(job, code, (code == NO_ROOM) ? this.admission.retryAfterNoSlotMillis(job, nowNanos)
				: this.admission.retryAfterMillis(job, nowNanos));
	}

	/**
	 * Ends a request whose process is about to end.
	 */
	void endStopped(Job job, Code code) {
		if (job.possibleRuns > 0) {
			this.effects.accept(new DispatchEffect.Fail(job, code, false));
			return;
		}
		this.effects.accept(new DispatchEffect.Refuse(job, code, IMMEDIATE_RETRY_MILLIS));
	}

	/**
	 * Ends a request that is in quarantine.
	 */
	void endQuarantined(Job job, long remainingNanos) {
		if (job.possibleRuns > 0) {
			this.effects.accept(new DispatchEffect.Fail(job, RequestQuarantine.POISON_REQUEST, false));
			return;
		}
		this.effects.accept(new DispatchEffect.Refuse(job, RequestQuarantine.POISON_REQUEST,
				Math.max(1, remainingNanos / Placement.NANOS_PER_MILLI)));
	}

	private void refuse(Job job, Code code, long retryAfterMillis) {
		job.refusedRequest().ifPresent(this.admission::recordRefusal);
		this.effects.accept(new DispatchEffect.Refuse(job, code, retryAfterMillis));
	}

}
