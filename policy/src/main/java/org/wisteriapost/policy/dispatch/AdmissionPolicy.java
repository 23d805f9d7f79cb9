package org.wisteriapost.policy.dispatch;

import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.admission.AdmissionPriority;
import org.wisteriapost.policy.admission.ContentionByRank;
import org.wisteriapost.policy.admission.ContentionTrend;
import org.wisteriapost.policy.admission.RetryHints;
import org.wisteriapost.policy.routing.Organisation;

/**
 * Decides whether a request is sent now, waits for free capacity, or is refused.
 *
 * Under more load than the engines can serve in time, admitting every request would make
 * every first event late. Only requests that can meet their latency target are admitted,
 * which keeps the engines at full goodput. Other requests are refused immediately, while
 * their callers still have time to retry elsewhere.
 */
final class AdmissionPolicy {

	// Time for network transfer from the entry to the caller and for processing in the
	// entry.
	private static final double ENTRY_OVERHEAD_MILLIS = 15;

	// Below this utilization an engine is sent a request even if no prediction meets its
	// latency target: the prompt waits behind others, but the request takes a slot that
	// would be empty otherwise.
	private static final double LOW_UTILIZATION = 0.75;

	// A prediction that exceeds the remaining time by less than this factor is often met,
	// and a refused request would leave its slot empty.
	private static final double NEAR_MISS_FACTOR = 1.5;

	private static final double NEAR_MISS_MAX_UTILIZATION = 0.95;

	// A retry after a refusal has missed its latency target and must not delay requests
	// that can still meet theirs. It is kept out of the last slots, and gets none while
	// such requests find no slot.
	private static final double LATE_MAX_UTILIZATION = 0.85;

	// A retry after a refusal waits for a free slot for at most this share of the
	// latency target, and only while no other request is refused. A second refusal is
	// final, but a longer wait would leave no time to go elsewhere.
	private static final double LATE_MAX_WAIT_SHARE = 0.8;

	// Share of the remaining time after which a refused caller should retry. Engines
	// that switch weights or restart are unavailable for a second and more, so an
	// earlier retry would meet the same load and use up the one retry of the caller. The
	// delay is jittered to avoid synchronized retries.
	private static final double RETRY_AFTER_SHARE = 1.0 / 3;

	private static final double RETRY_AFTER_JITTER = 0.3;

	private static final long MIN_RETRY_AFTER_MILLIS = 100;

	private static final long MAX_RETRY_AFTER_MILLIS = 2000;

	// While no runner is known, a request waits for one to register for at most this
	// share of the latency target.
	private static final double NO_RUNNER_MAX_WAIT_SHARE = 0.125;

	// Maximum wait for a slot as a share of the latency target. A later refusal would
	// leave the caller too little time to retry.
	private static final double MAX_WAIT_SHARE = 0.3;

	// Bounds the wait that is expected for a rank of which nothing was admitted recently.
	private static final double MIN_SLOT_SHARE = 0.05;

	private static final int LATE_RANK = 8;

	private final RefusedRequests refusedRequests = new RefusedRequests();

	private final UniformRandomProvider random;

	private final Contention contention;

	private final EvacuatedRunners evacuated;

	private final AdmissionPriority priority;

	private final ContentionTrend trend;

	private final RetryHints retryHints;

	AdmissionPolicy(Contention contention, EvacuatedRunners evacuated, boolean finalRefusals,
			UniformRandomProvider random) {
		this.contention = contention;
		this.evacuated = evacuated;
		this.priority = new AdmissionPriority(contention.byRank(), contention.reservedSlots());
		this.trend = new ContentionTrend(contention.byRank());
		this.retryHints = finalRefusals ? this.trend : RetryHints.ALWAYS;
		this.random = random;
	}

	/**
	 * Updates the number of entries. Entries that are partitioned by failure domain
	 * report contention only to those in their own.
	 */
	void updateEntryCount(EntryCount count) {
		int reporting = count.partitioned() ? count.inFailureDomain() : count.total();
		this.contention.reservedSlots().updateEntryCount(reporting);
		this.trend.updateEntryCount(reporting);
	}

	/**
	 * Recognizes a request as the retry of a refused request. Such retries do not compete
	 * for shares.
	 */
	void arrived(Job job, long nowNanos) {
		this.refusedRequests.earlierAttempt(job)
			.ifPresent((refusal) -> job.firstAttemptNanos = refusal.firstAttemptNanos());
		if (!isLate(job, nowNanos)) {
			this.priority.arrived(job.service(), declaredRank(job), organisation(job), nowNanos);
		}
	}

	/**
	 * Records that a request is sent to its first runner.
	 */
	void admitted(Job job, long nowNanos) {
		if (!isLate(job, nowNanos)) {
			this.priority.admitted(job.service(), declaredRank(job), organisation(job), nowNanos);
		}
	}

	/**
	 * Determines the standing of a request before a runner is chosen for it, and returns
	 * whether it is late.
	 */
	boolean assess(Job job, long nowNanos) {
		if (isLate(job, nowNanos)) {
			// One that became late while it waited keeps its place in the queue.
			job.reservedSlots = 0;
			return true;
		}
		job.standing = this.priority.standing(job.service(), declaredRank(job), organisation(job), nowNanos);
		double reserved = job.standing.reservedSlots();
		job.reservedSlots = (reserved > 0) ? (int) Math.floor(reserved + this.random.nextDouble()) : 0;
		return false;
	}

	private static Optional<String> organisation(Job job) {
		return job.organisation().map(Organisation::name);
	}

	/**
	 * Records a refused request, whose caller may retry.
	 */
	void recordRefusal(RefusedRequest request) {
		this.refusedRequests.add(request);
	}

	Decision decide(Job job, Placement.Choice choice, int queued, long nowNanos) {
		if (choice.regionUnavailable()) {
			return Decision.REFUSE;
		}
		if (choice.isEmpty()) {
			// A wait that is known to be in vain would cost the caller the time to go
			// elsewhere. An evacuation usually lasts longer than a request.
			if (this.evacuated.includesAll(job.service())) {
				return Decision.REFUSE;
			}
			long untilNanos = choice.restEndNanos().orElse(choice.permitNanos().orElse(nowNanos));
			return (waitedShare(job, untilNanos) < NO_RUNNER_MAX_WAIT_SHARE) ? Decision.WAIT : Decision.REFUSE;
		}
		if (!choice.engine()) {
			return decidePlain(job, choice, nowNanos);
		}
		if (job.possibleRuns > 0) {
			// Work has been spent on the request already and would be wasted by a
			// refusal.
			return Decision.SEND;
		}
		if (isLate(job, nowNanos)) {
			return decideLate(job, choice, nowNanos);
		}
		double remaining = remainingMillis(job, nowNanos);
		if (choice.hasFreeCapacity() && (choice.predictedMillis() <= remaining
				|| choice.utilization() < maxUtilization(choice, remaining))) {
			return Decision.SEND;
		}
		this.contention.noFreeSlot(job.service(), contendedRank(job, choice), nowNanos);
		return canWait(job, choice, queued, remaining, nowNanos) ? Decision.WAIT : Decision.REFUSE;
	}

	// A request that only reserved slots keep from being sent must not be the reason to
	// reserve more.
	private static int contendedRank(Job job, Placement.Choice choice) {
		return (job.reservedSlots > 0 && choice.utilization() < 1) ? ContentionByRank.LAST_RANK : declaredRank(job);
	}

	// The utilization up to which an engine is sent a request that it is predicted to
	// answer late.
	private static double maxUtilization(Placement.Choice choice, double remaining) {
		return (choice.predictedMillis() <= NEAR_MISS_FACTOR * remaining) ? NEAR_MISS_MAX_UTILIZATION : LOW_UTILIZATION;
	}

	/**
	 * Returns whether the request can no longer meet its latency target at any runner.
	 */
	boolean isLate(Job job, long nowNanos) {
		return job.isStream() && remainingMillis(job, nowNanos) <= 0;
	}

	private Decision decideLate(Job job, Placement.Choice choice, long nowNanos) {
		if (this.contention.active(job.service(), nowNanos)) {
			return Decision.REFUSE;
		}
		if (choice.hasFreeCapacity() && choice.utilization() < LATE_MAX_UTILIZATION) {
			return Decision.SEND;
		}
		return (waitedShare(job, nowNanos) < LATE_MAX_WAIT_SHARE) ? Decision.WAIT : Decision.REFUSE;
	}

	private static double waitedShare(Job job, long nowNanos) {
		return (double) (nowNanos - job.arrivedNanos()) / job.route().targetLatency().toNanos();
	}

	// The request waits in the entry and not at an engine, so that it can use the first
	// free slot of any engine. It waits only for a bounded time and only if the requests
	// ahead of it leave a slot within that time.
	private boolean canWait(Job job, Placement.Choice choice, int queued, double remaining, long nowNanos) {
		double waited = (double) (nowNanos - job.arrivedNanos()) / Placement.NANOS_PER_MILLI;
		double maxWait = MAX_WAIT_SHARE * job.route().targetLatency().toMillis();
		if (choice.hasFreeCapacity() || waited >= maxWait) {
			return false;
		}
		double share = Math.max(MIN_SLOT_SHARE, this.priority.slotShare(job.standing, job.service(), nowNanos));
		double wait = (queued + 1) * choice.slotIntervalMillis() / share;
		return wait <= maxWait - waited && wait + choice.predictedMillis() - choice.slotWaitMillis() <= remaining;
	}

	/**
	 * Returns the delay after which the caller of a request that found no slot should
	 * retry; 0 if it should not.
	 */
	long retryAfterNoSlotMillis(Job job, long nowNanos) {
		return this.retryHints.forecast(job.service(), nowNanos) ? retryAfterMillis(job, nowNanos) : 0;
	}

	/**
	 * Returns the delay after which a refused caller should retry.
	 */
	long retryAfterMillis(Job job, long nowNanos) {
		double remaining = (double) (job.deadlineNanos() - nowNanos) / Placement.NANOS_PER_MILLI;
		double delay = Math.clamp(remaining * RETRY_AFTER_SHARE, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
		return (long) (delay * (1 - this.random.nextDouble() * RETRY_AFTER_JITTER));
	}

	/**
	 * Returns the rank of a request at its runner.
	 */
	int rank(Job job, long nowNanos) {
		if (isLate(job, nowNanos)) {
			return LATE_RANK;
		}
		return declaredRank(job);
	}

	private static int declaredRank(Job job) {
		int declared = job.organisation()
			.map((organisation) -> organisation.priority().orElse(job.route().priority()))
			.orElse(job.route().priority());
		return Math.clamp(declared, 0, ContentionByRank.LAST_RANK);
	}

	private static Decision decidePlain(Job job, Placement.Choice choice, long nowNanos) {
		if (choice.hasFreeCapacity()) {
			return Decision.SEND;
		}
		boolean timedOut = nowNanos - job.arrivedNanos() > job.route().targetLatency().toNanos() / 2;
		return timedOut ? Decision.REFUSE : Decision.WAIT;
	}

	private static double remainingMillis(Job job, long nowNanos) {
		double elapsed = (double) (nowNanos - job.firstAttemptNanos) / Placement.NANOS_PER_MILLI;
		return job.route().targetLatency().toMillis() - elapsed - ENTRY_OVERHEAD_MILLIS;
	}

	/**
	 * Decision on a request.
	 */
	enum Decision {

		/** Send the request to the chosen runner. */
		SEND,
		/** Decide again when the state has changed. */
		WAIT,
		/** End the request without a result. */
		REFUSE

	}

}
