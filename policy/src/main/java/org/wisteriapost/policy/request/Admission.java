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
 * The wait is the work that goes before this request, divided by the rate at which its
 * organisation and priority are served: what the calls in flight get through, less what
 * the others send, but no less than the organisation's share, less its own more urgent
 * work. All of it is this entry's own figures, so it holds without a word from the
 * others. The time to come back is when that backlog will have drained far enough, and
 * jittered so that the refused do not return as one wave.
 */
final class Admission {

	static final Code DEADLINE_UNREACHABLE = Code.refusal("deadline-unreachable",
			"The request cannot be answered before its deadline.");

	/** Nobody is told to come back sooner: less is a busy loop. */
	private static final long LEAST_RETRY_MILLIS = 100;

	private static final long MOST_RETRY_MILLIS = 60_000;

	/** A class that gets less than this share of the slots is not served at all. */
	private static final double LEAST_SHARE = 0.001;

	private static final double NANOS = Duration.ofSeconds(1).toNanos();

	private Admission() {
	}

	/**
	 * Returns the expected seconds until a new request is sent to a runner.
	 */
	static double waitSeconds(Request request, ServiceState service, long nowNanos) {
		RunnerPool pool = service.pool;
		boolean atOnce = service.queue.isEmpty() && !pool.free().isEmpty();
		if (atOnce || pool.rate.mean() == 0) {
			return 0;
		}
		double rate = Math.max(1, pool.inFlight()) / pool.rate.mean();
		double served = Math.max(rate * LEAST_SHARE, servedRate(request, service, rate, nowNanos));
		double own = service.queue.ownCost(request);
		return own / served + service.queue.headStartCost(request) / rate;
	}

	/**
	 * Returns the milliseconds after which to come back, or empty when the deadline can
	 * be met.
	 */
	static Optional<Long> refuse(Request request, ServiceState service, double jitter, long nowNanos) {
		double wait = waitSeconds(request, service, nowNanos);
		double left = (request.deadlineNanos() - nowNanos) / NANOS;
		double late = wait + runSeconds(request, service.pool) - left;
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
	static long drainMillis(Request request, ServiceState service, double jitter, long nowNanos) {
		return retryMillis(waitSeconds(request, service, nowNanos), jitter);
	}

	private static double servedRate(Request request, ServiceState service, double rate, long nowNanos) {
		String organisation = request.organisation();
		double share = rate * service.settings.weight(organisation) / service.arrivals.weightWith(organisation);
		double left = rate - service.arrivals.others(organisation, nowNanos);
		return Math.max(share, left) - service.arrivals.ownMoreUrgent(request, nowNanos);
	}

	private static double runSeconds(Request request, RunnerPool pool) {
		return request.cost() * pool.rate.high();
	}

	private static long retryMillis(double seconds, double jitter) {
		double millis = seconds * 1000 * (1 + jitter / 4);
		return (long) Math.max(LEAST_RETRY_MILLIS * (1 + jitter / 4), Math.min(MOST_RETRY_MILLIS, millis));
	}

}
