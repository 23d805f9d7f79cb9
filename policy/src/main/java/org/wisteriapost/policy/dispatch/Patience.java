package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether a request is sent now, waits for room, or is refused.
 *
 * Load: more requests than the engines can answer in time. Harm prevented: with all of
 * them admitted every first event is late, while admitting what can be in time serves as
 * many as the engines can carry. Who is refused learns it at once, while the time to ask
 * elsewhere or again is still there.
 */
final class Patience {

	// The way from the entry to the caller and the entry's own work.
	private static final double MARGIN_MILLIS = 15;

	// A late answer is still of some use, but must not make those late that can be in
	// time: it takes none of the last quarter of an engine's slots.
	private static final double SPARE = 0.75;

	// A refused caller comes back once. Engines that change weights are away for some 1.7
	// s;
	// who comes back sooner meets the same load and is lost.
	private static final long RETRY_MILLIS = 1000;

	private static final long RETRY_SPREAD_MILLIS = 1000;

	// While no runner is known, one may come up with the next message.
	private static final long NO_RUNNER_WAIT_NANOS = Duration.ofMillis(250).toNanos();

	// Of the time to the first event that callers expect. Later refusals leave them too
	// little time to ask again.
	private static final double WAIT_SHARE = 0.3;

	private static final int MOST_RANK = 9;

	private static final int LATE_RANK = 8;

	// The longest time that callers of a route have been seen to give; less tells of an
	// earlier attempt.
	private final Map<String, Long> longest = new HashMap<>();

	private final UniformRandomProvider random;

	Patience(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Notes how much time a caller gives.
	 */
	void arrived(Job job) {
		long given = job.deadlineNanos() - job.arrivedNanos();
		long most = this.longest.merge(job.route().name(), given, Math::max);
		job.wantedNanos = job.arrivedNanos() - Math.max(0, most - given);
	}

	Step decide(Job job, Placement.Choice choice, int queued, long nowNanos) {
		if (choice.none()) {
			return (nowNanos - job.arrivedNanos() < NO_RUNNER_WAIT_NANOS) ? Step.WAIT : Step.REFUSE;
		}
		if (!choice.engine()) {
			return plain(job, choice, nowNanos);
		}
		if (job.runs > 0) {
			// It has begun once; what it cost is lost unless it goes on.
			return Step.SEND;
		}
		double left = leftMillis(job, nowNanos);
		if (choice.room() && choice.predictedMillis() <= left) {
			return Step.SEND;
		}
		if (choice.used() < SPARE) {
			return Step.SEND;
		}
		return mayWait(job, choice, queued, left, nowNanos) ? Step.WAIT : Step.REFUSE;
	}

	// Waits here and not at an engine, so that the first slot of any engine serves it;
	// for
	// a part of the time only, and not behind more than can be served in it.
	private static boolean mayWait(Job job, Placement.Choice choice, int queued, double left, long nowNanos) {
		double waited = (double) (nowNanos - job.arrivedNanos()) / Placement.NANOS_PER_MILLI;
		double most = WAIT_SHARE * job.route().target().toMillis();
		if (choice.room() || waited >= most) {
			return false;
		}
		double wait = (queued + 1) * choice.slotEveryMillis();
		return wait <= most - waited && wait + choice.predictedMillis() - choice.slotWaitMillis() <= left;
	}

	/**
	 * Returns the milliseconds after which a refused caller should come back.
	 */
	long retryAfterMillis() {
		return RETRY_MILLIS + (long) (this.random.nextDouble() * RETRY_SPREAD_MILLIS);
	}

	/**
	 * Returns how urgent a request is at its runner.
	 */
	int rank(Job job, long nowNanos) {
		if (job.stream() && leftMillis(job, nowNanos) <= 0) {
			return LATE_RANK;
		}
		int declared = job.organisation()
			.map((organisation) -> organisation.priority().orElse(job.route().priority()))
			.orElse(job.route().priority());
		return Math.clamp(declared, 0, MOST_RANK);
	}

	private static Step plain(Job job, Placement.Choice choice, long nowNanos) {
		if (choice.room()) {
			return Step.SEND;
		}
		boolean late = nowNanos - job.arrivedNanos() > job.route().target().toNanos() / 2;
		return late ? Step.REFUSE : Step.WAIT;
	}

	private static double leftMillis(Job job, long nowNanos) {
		double gone = (double) (nowNanos - job.wantedNanos) / Placement.NANOS_PER_MILLI;
		return job.route().target().toMillis() - gone - MARGIN_MILLIS;
	}

	/**
	 * What to do with a request.
	 */
	enum Step {

		/** Send it to the chosen runner. */
		SEND,
		/** Ask again when something has changed. */
		WAIT,
		/** Give it its final answer. */
		REFUSE

	}

}
