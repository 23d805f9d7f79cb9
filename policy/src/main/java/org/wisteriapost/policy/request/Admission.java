package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.Optional;

import org.wisteriapost.kernel.Code;

/**
 * Returns whether a request can be answered before its deadline, and if not, when to come
 * back.
 *
 * Load: more work than slots. Harm prevented: a queue that is longer than its callers'
 * patience, in which every request is run after its caller has gone: all slots busy and
 * no answer of use.
 *
 * The wait is the cost that goes before this request under fair sharing, divided by what
 * the calls in flight get through; both are this entry's own figures, so they hold
 * without a word from the others. The time to come back is when that backlog will have
 * drained far enough, and jittered so that the refused do not return as one wave.
 */
final class Admission {

	static final Code DEADLINE_UNREACHABLE = Code.refusal("deadline-unreachable",
			"The request cannot be answered before its deadline.");

	/** Nobody is told to come back sooner: less is a busy loop. */
	private static final long LEAST_RETRY_MILLIS = 100;

	private static final long MOST_RETRY_MILLIS = 60_000;

	private static final double NANOS = Duration.ofSeconds(1).toNanos();

	private Admission() {
	}

	/**
	 * Returns the expected seconds until a new request is sent to a runner.
	 */
	static double waitSeconds(Request request, FairQueue queue, RunnerPool pool) {
		if (queue.isEmpty()) {
			return 0;
		}
		double slots = Math.max(1, pool.inFlight());
		return queue.costAhead(request) * pool.rate.mean() / slots;
	}

	/**
	 * Returns the milliseconds after which to come back, or empty when the deadline can
	 * be met.
	 */
	static Optional<Long> refuse(Request request, FairQueue queue, RunnerPool pool, double jitter, long nowNanos) {
		double wait = waitSeconds(request, queue, pool);
		double left = (request.deadlineNanos() - nowNanos) / NANOS;
		double late = wait + runSeconds(request, pool) - left;
		if (left > 0 && late <= 0) {
			return Optional.empty();
		}
		return Optional.of(retryMillis(Math.min(late, wait), jitter));
	}

	/**
	 * Returns whether a request that has waited can still be answered in time; a slot
	 * must not be spent on one that cannot.
	 */
	static boolean inTime(Request request, RunnerPool pool, long nowNanos) {
		double left = (request.deadlineNanos() - nowNanos) / NANOS;
		return left > 0 && runSeconds(request, pool) <= left;
	}

	/**
	 * Returns when the present backlog will be gone, in milliseconds.
	 */
	static long drainMillis(Request request, FairQueue queue, RunnerPool pool, double jitter) {
		return retryMillis(waitSeconds(request, queue, pool), jitter);
	}

	private static double runSeconds(Request request, RunnerPool pool) {
		return request.cost() * pool.rate.median();
	}

	private static long retryMillis(double seconds, double jitter) {
		double millis = seconds * 1000 * (1 + jitter / 4);
		return (long) Math.max(LEAST_RETRY_MILLIS * (1 + jitter / 4), Math.min(MOST_RETRY_MILLIS, millis));
	}

}
