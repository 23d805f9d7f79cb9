package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.Optional;

import org.wisteriapost.kernel.Code;

/**
 * Decides whether a request can be answered before its deadline and, if not, when the
 * caller should retry.
 *
 * Load: more work than slots. Harm prevented: a queue that outlasts its callers'
 * deadlines, so that every request runs after its caller has disconnected, with all slots
 * busy and no useful answer.
 *
 * The expected wait is the work ahead of this request divided by the rate at which its
 * organisation and priority are served. That rate is the throughput of the calls in
 * flight less the arrivals of the other organisations, but at least the organisation's
 * weighted share, less its own more urgent work. All inputs are measured by this entry,
 * so the estimate does not depend on reports from its peers. The retry time is when the
 * backlog will have drained far enough, with jitter so that rejected callers do not
 * return in one wave.
 */
final class AdmissionControl {

	static final Code DEADLINE_UNREACHABLE = Code.refusal("deadline-unreachable",
			"The request cannot be answered before its deadline.");

	/** Shorter retry intervals would amount to a busy loop. */
	private static final long MIN_RETRY_MILLIS = 100;

	private static final long MAX_RETRY_MILLIS = 60_000;

	/** Lower bound of the estimated service rate, as a share of the total throughput. */
	private static final double MIN_SHARE = 0.001;

	private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

	private AdmissionControl() {
	}

	/**
	 * Returns the expected time until a new request is sent to a runner, 0 while nothing
	 * is measured.
	 */
	static double waitSeconds(Request request, ServiceState service, long nowNanos) {
		RunnerPool pool = service.pool;
		boolean immediate = service.queue.isEmpty() && !pool.free().isEmpty();
		if (immediate || pool.serviceTime.mean() == 0) {
			return 0;
		}
		double rate = Math.max(1, pool.inFlight()) / pool.serviceTime.mean();
		double served = Math.max(rate * MIN_SHARE, servedRate(request, service, rate, nowNanos));
		double own = service.queue.ownCost(request);
		return own / served + service.queue.headStartCost(request) / rate;
	}

	/**
	 * Returns the retry interval for the caller in milliseconds, or empty when the
	 * deadline can be met.
	 */
	static Optional<Long> retryAfterIfLate(Request request, ServiceState service, double jitter, long nowNanos) {
		double waitSeconds = waitSeconds(request, service, nowNanos);
		double remaining = (request.deadlineNanos() - nowNanos) / NANOS_PER_SECOND;
		double overrun = waitSeconds + runSeconds(request, service.pool) - remaining;
		if (remaining > 0 && overrun <= 0) {
			return Optional.empty();
		}
		return Optional.of(retryMillis(Math.min(overrun, waitSeconds), jitter));
	}

	/**
	 * Returns whether a waiting request can still be answered in time, so that no slot is
	 * spent on one that cannot.
	 */
	static boolean canMeetDeadline(Request request, RunnerPool pool, long nowNanos) {
		double remaining = (request.deadlineNanos() - nowNanos) / NANOS_PER_SECOND;
		return remaining > 0 && runSeconds(request, pool) <= remaining;
	}

	/**
	 * Returns the retry interval after which the current backlog will have drained.
	 */
	static long backlogDrainMillis(Request request, ServiceState service, double jitter, long nowNanos) {
		return retryMillis(waitSeconds(request, service, nowNanos), jitter);
	}

	private static double servedRate(Request request, ServiceState service, double rate, long nowNanos) {
		String organisation = request.organisation();
		double share = rate * service.settings.weight(organisation) / service.arrivals.activeWeightWith(organisation);
		double unused = rate - service.arrivals.otherOrganisationsRate(organisation, nowNanos);
		return Math.max(share, unused) - service.arrivals.moreUrgentRate(request, nowNanos);
	}

	private static double runSeconds(Request request, RunnerPool pool) {
		return request.cost() * pool.serviceTime.p95();
	}

	private static long retryMillis(double seconds, double jitter) {
		double millis = seconds * 1000 * (1 + jitter / 4);
		return (long) Math.max(MIN_RETRY_MILLIS * (1 + jitter / 4), Math.min(MAX_RETRY_MILLIS, millis));
	}

}
