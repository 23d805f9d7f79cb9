package org.wisteriapost.policy.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Returns the runner for a request.
 *
 * Load: many entries choose at once from reports that are up to a second old. Harm
 * prevented: all of them choose the runner that looked idle, and the callers whose turn
 * comes a moment later wait behind a herd.
 *
 * First, and without exception, the weights: only runners that serve exactly an accepted
 * digest, admit and do not leave are eligible. Of the free ones two are drawn and the
 * better is taken: that spreads entries that cannot see each other, and it costs the same
 * at ten runners and at thousands. A runner with the prompt's prefix cached is taken
 * instead while it is not much fuller than the better of two: a cached prefix saves part
 * of one prompt, a queue costs whole ones. The same place is preferred by less than one
 * slot in eight, for the way to another place costs half a millisecond.
 */
final class Placement {

	/** By how much fuller a runner may be for its cached prefix. */
	private static final double PREFIX_BOUND = 0.25;

	private static final double OTHER_PLACE = 0.05;

	/** No runner counts as more than this many times slower or faster. */
	private static final double MOST_SLOWER = 4;

	private final String place;

	private final UniformRandomProvider random;

	Placement(RequestPolicySettings settings, UniformRandomProvider random) {
		this.place = settings.place();
		this.random = random;
	}

	/**
	 * Returns whether calls of the view's service may go to the runner at all.
	 */
	static boolean eligible(RunnerView view, Set<String> accepted, Set<String> leaving) {
		return view.admitting() && view.capacity() > 0 && accepted.contains(view.weightsDigest())
				&& !leaving.contains(view.runner());
	}

	/**
	 * Returns a free runner; empty when none may take this request.
	 */
	Optional<RunnerState> choose(RunnerPool pool, Flight flight) {
		List<RunnerState> free = pool.free();
		if (free.isEmpty()) {
			return Optional.empty();
		}
		int at = this.random.nextInt(free.size());
		RunnerState first = free.get(at);
		RunnerState second = free.get(other(at, free.size()));
		if (first.ejected || second.ejected) {
			return aroundProbe(pool, flight, first.ejected ? first : second);
		}
		RunnerState better = better(pool, flight, first, second);
		Optional<RunnerState> cached = pool.freeWithPrefix(flight.request.prefix())
			.filter((runner) -> !runner.ejected && !runner.name.equals(flight.lastRunner))
			.filter((runner) -> score(pool, runner) <= score(pool, better) + PREFIX_BOUND);
		return cached.or(() -> Optional.of(better));
	}

	/**
	 * A free runner that is ejected waits for its probe. Only a request that may run
	 * again elsewhere is used for that.
	 */
	private Optional<RunnerState> aroundProbe(RunnerPool pool, Flight flight, RunnerState probe) {
		if (flight.request.idempotent() && flight.dispatches == 0) {
			return Optional.of(probe);
		}
		return pool.free().stream().filter((runner) -> !runner.ejected).findFirst();
	}

	private int other(int at, int size) {
		return (size == 1) ? at : (at + 1 + this.random.nextInt(size - 1)) % size;
	}

	private RunnerState better(RunnerPool pool, Flight flight, RunnerState first, RunnerState second) {
		if (first.name.equals(flight.lastRunner)) {
			return second;
		}
		if (second.name.equals(flight.lastRunner)) {
			return first;
		}
		return (score(pool, first) <= score(pool, second)) ? first : second;
	}

	private double score(RunnerPool pool, RunnerState runner) {
		double load = (runner.load() + 1.0) / runner.view.capacity();
		double elsewhere = runner.view.place().equals(this.place) ? 0 : OTHER_PLACE;
		return load * slowness(pool, runner) + elsewhere;
	}

	private static double slowness(RunnerPool pool, RunnerState runner) {
		double median = pool.rate.median();
		if (median == 0 || runner.secondsPerCost == 0) {
			return 1;
		}
		double ratio = runner.secondsPerCost / median;
		return Math.max(1 / MOST_SLOWER, Math.min(MOST_SLOWER, ratio));
	}

}
