package org.wisteriapost.policy.dispatch;

import java.time.Duration;

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

	// A request that cannot be in time by any prediction is still sent to an engine with
	// this much room: its prompt waits behind others, its slot is not missed.
	private static final double SPARE = 0.75;

	// Who comes back after a refusal is of some use only, and must not make those late
	// that can be in time. It takes none of the last slots; while others are turned
	// away it only takes from an engine that stands nearly empty.
	private static final double LATE_SPARE = 0.85;

	private static final double LATE_SPARE_CONTENDED = 0.25;

	// How long after a request was turned away there is taken to be more than room. An
	// engine at its limit frees a slot each 0.1 s.
	private static final long CONTENDED_NANOS = Duration.ofMillis(300).toNanos();

	// Who comes back after a refusal cannot be in time any more, and a second refusal is
	// its last. While nobody else is turned away it waits for a spare slot, as a part of
	// the time that callers expect; longer would keep it from asking elsewhere.
	private static final double LATE_WAIT_SHARE = 0.8;

	// A refused caller comes back once, and bears a third of the time that it has left.
	// Engines that change weights or start anew are away for a second and more, so who
	// comes back sooner meets the same load and is lost; spread, so that not all do so in
	// the same moment.
	private static final double RETRY_SHARE = 1.0 / 3;

	private static final double RETRY_SPREAD = 0.3;

	private static final long RETRY_LEAST_MILLIS = 100;

	private static final long RETRY_MOST_MILLIS = 2000;

	// While no runner is known, one may come up with the next message; as a part of the
	// time that callers expect.
	private static final double NO_RUNNER_WAIT_SHARE = 0.125;

	// Of the time to the first event that callers expect. Later refusals leave them too
	// little time to ask again.
	private static final double WAIT_SHARE = 0.3;

	private static final int MOST_RANK = 9;

	private static final int LATE_RANK = 8;

	private final RefusedRequests refused = new RefusedRequests();

	private final UniformRandomProvider random;

	private long contendedNanos = Long.MIN_VALUE / 2;

	Patience(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Looks whether a request is an earlier one that came back.
	 */
	void arrived(Job job) {
		this.refused.of(job).ifPresent((earlier) -> job.wantedNanos = earlier.askedNanos());
	}

	/**
	 * Notes a request whose caller may come back.
	 */
	void refused(RefusedRequest request) {
		this.refused.note(request);
	}

	Step decide(Job job, Placement.Choice choice, int queued, long nowNanos) {
		if (choice.none()) {
			return (waitedShare(job, nowNanos) < NO_RUNNER_WAIT_SHARE) ? Step.WAIT : Step.REFUSE;
		}
		if (!choice.engine()) {
			return plain(job, choice, nowNanos);
		}
		if (job.runs > 0) {
			// It has begun once; what it cost is lost unless it goes on.
			return Step.SEND;
		}
		if (late(job, nowNanos)) {
			return late(job, choice, nowNanos);
		}
		double left = leftMillis(job, nowNanos);
		if (choice.room() && (choice.predictedMillis() <= left || choice.used() < SPARE)) {
			return Step.SEND;
		}
		this.contendedNanos = nowNanos;
		return mayWait(job, choice, queued, left, nowNanos) ? Step.WAIT : Step.REFUSE;
	}

	/**
	 * Returns whether a request's first event can't come in the time that its caller
	 * expects, wherever it goes.
	 */
	boolean late(Job job, long nowNanos) {
		return job.stream() && leftMillis(job, nowNanos) <= 0;
	}

	private Step late(Job job, Placement.Choice choice, long nowNanos) {
		boolean contended = nowNanos - this.contendedNanos < CONTENDED_NANOS;
		if (choice.room() && choice.used() < (contended ? LATE_SPARE_CONTENDED : LATE_SPARE)) {
			return Step.SEND;
		}
		boolean hopes = !contended && waitedShare(job, nowNanos) < LATE_WAIT_SHARE;
		return hopes ? Step.WAIT : Step.REFUSE;
	}

	private static double waitedShare(Job job, long nowNanos) {
		return (double) (nowNanos - job.arrivedNanos()) / job.route().target().toNanos();
	}

	// Waits here and not at an engine, so that the first slot of any engine serves it;
	// for a part of the time only, and not behind more than can be served in it.
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
	long retryAfterMillis(Job job, long nowNanos) {
		double left = (double) (job.deadlineNanos() - nowNanos) / Placement.NANOS_PER_MILLI;
		double most = Math.clamp(left * RETRY_SHARE, RETRY_LEAST_MILLIS, RETRY_MOST_MILLIS);
		return (long) (most * (1 - this.random.nextDouble() * RETRY_SPREAD));
	}

	/**
	 * Returns how urgent a request is at its runner.
	 */
	int rank(Job job, long nowNanos) {
		if (late(job, nowNanos)) {
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
