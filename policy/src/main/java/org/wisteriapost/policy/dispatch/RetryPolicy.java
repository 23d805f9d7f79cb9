package org.wisteriapost.policy.dispatch;

import java.time.Duration;

/**
 * Decides how a request continues after a failed dispatch, and when a runner without
 * output counts as silent.
 *
 * Runners crash, become unreachable or lose responses under load. A request that must run
 * at most once must not run twice, and a stream must not wait for a dead runner until its
 * caller disconnects. A sound runner may be silent for seconds too, so a silent runner is
 * a reason to try another one and none to end the dispatch.
 */
final class RetryPolicy {

	private static final int MAX_DISPATCHES = 4;

	// A saturated engine emits an event about every 150 ms and callers tolerate gaps of
	// 400 ms.
	private static final long STREAM_IDLE_TIMEOUT_NANOS = Duration.ofMillis(1000).toNanos();

	private static final double FIRST_EVENT_TIMEOUT_FACTOR = 2;

	private static final double PLAIN_TIMEOUT_FACTOR = 2;

	/**
	 * Returns how the request continues after a dispatch has ended.
	 */
	Decision decide(Job job, DispatchOutcome outcome) {
		return switch (outcome) {
			case DONE -> Decision.FINISH;
			case NOT_SENT, FULL, MISDIRECTED -> (job.dispatchCount < MAX_DISPATCHES) ? Decision.RETRY : Decision.FAIL;
			case ERROR -> (canRetry(job) && !job.responseStarted) ? Decision.RETRY : Decision.FORWARD_ERROR;
			case DISCONNECTED, BROKEN -> canRetry(job) ? Decision.RETRY : Decision.FAIL;
		};
	}

	/**
	 * Returns whether a request that may be retried has waited longer than usual for
	 * output of the runner of a dispatch.
	 */
	boolean stalled(Dispatch dispatch, long nowNanos) {
		Job job = dispatch.job;
		if (!canRetry(job)) {
			return false;
		}
		long idleNanos = nowNanos - dispatch.lastProgressNanos();
		if (!job.isStream()) {
			return idleNanos > PLAIN_TIMEOUT_FACTOR * job.route().targetLatency().toNanos();
		}
		if (job.events() == 0) {
			double expectedNanos = dispatch.predictedMillis * Placement.NANOS_PER_MILLI
					+ job.route().targetLatency().toNanos();
			return idleNanos > Math.max(STREAM_IDLE_TIMEOUT_NANOS, FIRST_EVENT_TIMEOUT_FACTOR * expectedNanos);
		}
		return idleNanos > STREAM_IDLE_TIMEOUT_NANOS;
	}

	/**
	 * Returns whether the request may be executed by another runner.
	 */
	boolean canRetry(Job job) {
		return job.route().retryable() && job.possibleRuns < job.route().maxAttempts()
				&& job.dispatchCount < MAX_DISPATCHES;
	}

	/**
	 * Decision on a request whose dispatch has ended.
	 */
	enum Decision {

		/** The request is complete. */
		FINISH,
		/** Forward the error response of the runner. */
		FORWARD_ERROR,
		/** Fail the request, which may have been executed. */
		FAIL,
		/** Send the request to another runner. */
		RETRY

	}

}
