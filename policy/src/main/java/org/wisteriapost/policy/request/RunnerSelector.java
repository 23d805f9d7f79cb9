package org.wisteriapost.policy.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the runner for a request.
 *
 * Load: many entries select at the same time from reports that are up to a second old.
 * Harm prevented: all of them select the runner that looked idle, and the calls that
 * arrive next queue behind the herd.
 *
 * Only runners that serve an accepted weights digest, admit calls and are not leaving are
 * eligible. Of the free ones two are drawn at random and the better one is used (power of
 * two choices): this spreads the load of entries that do not coordinate, at a cost
 * independent of the number of runners. A runner that has the prompt's prefix cached is
 * preferred while its load is not much higher than that of the better one: a cached
 * prefix saves part of one prompt, whereas a queue costs whole ones. A runner in the same
 * failure domain is preferred by less than one slot in eight, because crossing failure
 * domains costs about half a millisecond.
 */
final class RunnerSelector {

	/** Additional load per slot that is accepted for a cached prefix. */
	private static final double PREFIX_LOAD_MARGIN = 0.25;

	private static final double REMOTE_PENALTY = 0.05;

	/** Bounds the measured slowdown or speedup of a runner. */
	private static final double MAX_SLOWDOWN = 4;

	private final String failureDomain;

	private final UniformRandomProvider random;

	RunnerSelector(RequestPolicySettings settings, UniformRandomProvider random) {
		this.failureDomain = settings.failureDomain();
		this.random = random;
	}

	/**
	 * Returns whether calls of the runner's service may be sent to it.
	 */
	static boolean eligible(RunnerStatus status, Set<String> accepted, Set<String> leaving) {
		return status.admitting() && status.capacity() > 0 && accepted.contains(status.weightsDigest())
				&& !leaving.contains(status.runner());
	}

	/**
	 * Returns a free runner, or empty when none may serve this request.
	 */
	Optional<RunnerState> select(RunnerPool pool, PendingRequest pending) {
		List<RunnerState> free = pool.free();
		if (free.isEmpty()) {
			return Optional.empty();
		}
		int index = this.random.nextInt(free.size());
		RunnerState first = free.get(index);
		RunnerState second = free.get(otherIndex(index, free.size()));
		if (first.ejected || second.ejected) {
			return selectProbe(pool, pending, first.ejected ? first : second);
		}
		RunnerState better = better(pool, pending, first, second);
		Optional<RunnerState> cached = pool.freeWithPrefix(pending.request.prefix())
			.filter((runner) -> !runner.ejected && !runner.name.equals(pending.lastRunner))
			.filter((runner) -> score(pool, runner) <= score(pool, better) + PREFIX_LOAD_MARGIN);
		return cached.or(() -> Optional.of(better));
	}

	/**
	 * Uses the request as the probe of an ejected runner if it can be retried elsewhere,
	 * and selects a healthy runner otherwise.
	 */
	private Optional<RunnerState> selectProbe(RunnerPool pool, PendingRequest pending, RunnerState probe) {
		if (pending.request.idempotent() && pending.dispatches == 0) {
			return Optional.of(probe);
		}
		return pool.free().stream().filter((runner) -> !runner.ejected).findFirst();
	}

	private int otherIndex(int index, int size) {
		return (size == 1) ? index : (index + 1 + this.random.nextInt(size - 1)) % size;
	}

	private RunnerState better(RunnerPool pool, PendingRequest pending, RunnerState first, RunnerState second) {
		if (first.name.equals(pending.lastRunner)) {
			return second;
		}
		if (second.name.equals(pending.lastRunner)) {
			return first;
		}
		return (score(pool, first) <= score(pool, second)) ? first : second;
	}

	private double score(RunnerPool pool, RunnerState runner) {
		double load = (runner.load() + 1.0) / runner.status.capacity();
		double remotePenalty = runner.status.failureDomain().equals(this.failureDomain) ? 0 : REMOTE_PENALTY;
		return load * slowdown(pool, runner) + remotePenalty;
	}

	private static double slowdown(RunnerPool pool, RunnerState runner) {
		double median = pool.serviceTime.median();
		if (median == 0 || runner.secondsPerCost == 0) {
			return 1;
		}
		double ratio = runner.secondsPerCost / median;
		return Math.max(1 / MAX_SLOWDOWN, Math.min(MAX_SLOWDOWN, ratio));
	}

}
