package org.wisteriapost.policy.dispatch;

import java.time.Duration;

/**
 * Decides what becomes of a request whose runner failed, and when silence is a failure.
 *
 * Load: runners crash, go dark, or lose answers in the middle of the day's load. Harm
 * prevented: a call that may run once is run twice; a stream waits on a dead runner until
 * its caller leaves.
 */
final class Recovery {

	private static final int MOST_DISPATCHES = 4;

	// A full engine makes an event in about 150 ms and callers bear 400; a second is
	// silence.
	private static final long STREAM_SILENCE_NANOS = Duration.ofMillis(1000).toNanos();

	private static final double FIRST_EVENT_FACTOR = 2;

	private static final double PLAIN_FACTOR = 2;

	/**
	 * Returns what is to be done after a dispatch.
	 */
	Verdict after(Job job, Outcome outcome) {
		return switch (outcome) {
			case DONE -> Verdict.FINISHED;
			case NOT_SENT, FULL, MISDIRECTED -> (job.dispatches < MOST_DISPATCHES) ? Verdict.AGAIN : Verdict.FAIL;
			case ERROR -> (mayRunAgain(job) && !job.headed) ? Verdict.AGAIN : Verdict.PASS_ON;
			case BROKEN -> mayRunAgain(job) ? Verdict.AGAIN : Verdict.FAIL;
		};
	}

	/**
	 * Returns whether a request that may run again has waited too long for its runner.
	 */
	boolean stalled(Job job, long nowNanos) {
		if (!mayRunAgain(job)) {
			return false;
		}
		long silent = nowNanos - job.movedNanos();
		if (!job.stream()) {
			return silent > PLAIN_FACTOR * job.route().target().toNanos();
		}
		if (job.events() == 0) {
			double expected = job.predictedMillis * Placement.NANOS_PER_MILLI + job.route().target().toNanos();
			return silent > Math.max(STREAM_SILENCE_NANOS, FIRST_EVENT_FACTOR * expected);
		}
		return silent > STREAM_SILENCE_NANOS;
	}

	/**
	 * Returns whether a request may be sent to one more runner.
	 */
	boolean mayRunAgain(Job job) {
		return job.route().repeatable() && job.runs < job.route().maxAttempts() && job.dispatches < MOST_DISPATCHES;
	}

	/**
	 * What is to be done.
	 */
	enum Verdict {

		/** Nothing more. */
		FINISHED,
		/** The runner's failure is the answer. */
		PASS_ON,
		/** It may have run; say so. */
		FAIL,
		/** Another runner may answer it. */
		AGAIN

	}

}
