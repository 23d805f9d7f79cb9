package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.routing.EngineSpec;

/**
 * Chooses the runner that answers a request first.
 *
 * Load: several entries spread work over the same runners, and each sees a part of it.
 * Harm prevented: all entries send to the runner that looked free a moment ago. What
 * others said last is added to what is in flight from here, and of runners that are
 * predicted nearly alike one is drawn by chance.
 */
final class Placement {

	static final long NANOS_PER_MILLI = 1_000_000;

	// A plain service's runner queues a few requests more than it has slots.
	private static final int PLAIN_QUEUE = 4;

	// Predictions that differ by less are alike: half a token step of a usual engine.
	private static final double ALIKE_MILLIS = 5;

	// The way to another place and back, and what its bytes cost.
	private static final double OTHER_PLACE_MILLIS = 4;

	private final RunnerBook book;

	private final WeightsFence fence;

	private final String place;

	private final UniformRandomProvider random;

	Placement(RunnerBook book, WeightsFence fence, String place, UniformRandomProvider random) {
		this.book = book;
		this.fence = fence;
		this.place = place;
		this.random = random;
	}

	/**
	 * Returns the best runner for a request now.
	 * @param engine present when its service runs model engines
	 */
	Choice choose(Job job, Optional<EngineSpec> engine, long nowNanos) {
		OptionalInt version = engine.isPresent() ? this.fence.required(engine.get().model(), nowNanos)
				: OptionalInt.empty();
		Choice best = best(job, engine, version, nowNanos, true);
		// When all are left out for their failures the cause is likely elsewhere: one
		// that
		// fails part of its requests is better than none.
		return best.none() ? best(job, engine, version, nowNanos, false) : best;
	}

	/**
	 * Notes that a runner refused a request as not meant for it.
	 */
	void misdirected(RunnerState runner, Job job) {
		runner.told(OptionalInt.empty());
		runner.full(job.sentNanos);
	}

	private Choice best(Job job, Optional<EngineSpec> engine, OptionalInt version, long nowNanos, boolean healthy) {
		Choice best = Choice.nobody(version);
		double bestCost = Double.MAX_VALUE;
		List<RunnerState> pool = this.book.of(job.service());
		for (RunnerState runner : pool) {
			if (!fits(job, runner, engine, version, nowNanos) || (healthy && !healthy(runner, nowNanos))) {
				continue;
			}
			PeerLoad load = runner.total(nowNanos);
			double predicted = predict(runner, engine, load, job);
			double cost = predicted + (runner.info.place().equals(this.place) ? 0 : OTHER_PLACE_MILLIS)
					+ this.random.nextDouble() * ALIKE_MILLIS;
			if (cost < bestCost) {
				bestCost = cost;
				int slots = engine.map(EngineSpec::slots).orElse(runner.info.slots() + PLAIN_QUEUE);
				boolean room = load.active() < slots && !runner.saidFull(nowNanos);
				double used = (double) load.active() / slots;
				OptionalInt bound = version.isPresent() ? runner.version(engine.orElseThrow().model()) : version;
				best = new Choice(Optional.of(runner), predicted, room, used, engine.isPresent(), bound);
			}
		}
		return best;
	}

	private static boolean healthy(RunnerState runner, long nowNanos) {
		if (!runner.health.usable(nowNanos)) {
			return false;
		}
		return !runner.health.onProbation() || runner.own.active() == 0;
	}

	private static boolean fits(Job job, RunnerState runner, Optional<EngineSpec> engine, OptionalInt version,
			long nowNanos) {
		if (runner.info.draining() || runner.gone || runner.switching || runner.saidFull(nowNanos)) {
			return false;
		}
		if (job.tried.contains(runner.info.id()) && job.tried.size() < 3) {
			return false;
		}
		if (engine.isEmpty()) {
			return true;
		}
		OptionalInt held = runner.version(engine.get().model());
		if (held.isEmpty()) {
			return false;
		}
		// A stream that has begun goes on only where the same weights are.
		if (job.events() > 0 && job.weightsVersion().isPresent()) {
			return held.equals(job.weightsVersion());
		}
		return version.isEmpty() || held.getAsInt() >= version.getAsInt();
	}

	private static double predict(RunnerState runner, Optional<EngineSpec> engine, PeerLoad load, Job job) {
		if (engine.isEmpty()) {
			return (double) load.active() / Math.max(1, runner.info.slots()) * ALIKE_MILLIS * 2;
		}
		return EngineForecast.firstEventMillis(engine.get(), load, prompt(job, engine.get())) * runner.pace;
	}

	private static int prompt(Job job, EngineSpec engine) {
		return (job.size().promptTokens() > 0) ? job.size().promptTokens() : engine.usualPrompt();
	}

	/**
	 * What the best runner promises.
	 *
	 * @param runner empty when no runner can be used
	 * @param predictedMillis to the first event
	 * @param room whether one of its slots is free
	 * @param used the share of its slots that are taken
	 * @param engine whether it is a model engine
	 * @param requiredVersion the version that the request must start on
	 */
	record Choice(Optional<RunnerState> runner, double predictedMillis, boolean room, double used, boolean engine,
			OptionalInt requiredVersion) {

		static Choice nobody(OptionalInt version) {
			return new Choice(Optional.empty(), Double.MAX_VALUE, false, 1, false, version);
		}

		boolean none() {
			return this.runner.isEmpty();
		}

	}

}
