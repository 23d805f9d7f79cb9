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

	// The way to another place and back.
	private static final double OTHER_PLACE_MILLIS = 4;

	// Links between places are narrow and paid for, and a stream takes some five
	// kilobytes of one. A request goes to a farther engine only for a gain that its
	// caller notices: a fifth of the time that is left to the expected first event, 80
	// ms at most, which is more than an idle engine is ahead of one that has just
	// begun to write.
	private static final double OTHER_PLACE_SHARE = 0.2;

	private static final double OTHER_PLACE_MOST_MILLIS = 80;

	// An engine's own queue takes a few more than it has slots, so that a slot is
	// taken the moment it comes free; the prediction counts the wait there. A slot
	// left free for the other entries instead refused a fifth of all requests at nine
	// tenths of the capacity.
	private static final int QUEUED = 2;

	// More than any prediction that is still in time: whoever has room goes first.
	private static final double NO_ROOM_MILLIS = 10_000;

	private final RunnerBook book;

	private final ServicePaces paces;

	private final WeightsFence fence;

	private final String place;

	private final UniformRandomProvider random;

	private EntryCount entries = EntryCount.flat(1);

	Placement(RunnerBook book, ServicePaces paces, WeightsFence fence, String place, UniformRandomProvider random) {
		this.book = book;
		this.paces = paces;
		this.fence = fence;
		this.place = place;
		this.random = random;
	}

	/**
	 * Hears how many entries there are.
	 */
	void entries(EntryCount count) {
		this.entries = count;
	}

	/**
	 * Returns the best runner for a request now.
	 * @param engine present when its service runs model engines
	 * @param late whether it goes last at runners
	 */
	Choice choose(Job job, Optional<EngineSpec> engine, boolean late, long nowNanos) {
		List<RunnerState> all = this.book.of(job.service());
		List<RunnerState> candidates = this.book.candidates(job.service());
		long wait = longestWait(candidates, late, nowNanos);
		OptionalInt version = engine.isPresent() ? this.fence.required(engine.get().model(), wait, nowNanos)
				: OptionalInt.empty();
		Choice best = best(job, engine, version, nowNanos, candidates);
		if (best.none() && candidates.size() < all.size()) {
			return best(job, engine, version, nowNanos, all);
		}
		return best;
	}

	// Load: named weights are to be in force soon, and the link to one runner holds
	// things for seconds. Harm prevented: its waits bind what goes to all others, seconds
	// before they would begin too late. A runner that is left out says nothing of others.
	private static long longestWait(List<RunnerState> runners, boolean late, long nowNanos) {
		long longest = 0;
		for (RunnerState runner : runners) {
			if (!runner.health.onProbation()) {
				longest = Math.max(longest, runner.waits.nanos(late, nowNanos));
			}
		}
		return longest;
	}

	private Choice best(Job job, Optional<EngineSpec> engine, OptionalInt version, long nowNanos,
			List<RunnerState> runners) {
		for (Wish wish : Wish.values()) {
			Choice best = best(job, engine, version, nowNanos, runners, wish);
			if (!best.none()) {
				return best;
			}
		}
		return Choice.nobody(version);
	}

	private Choice best(Job job, Optional<EngineSpec> engine, OptionalInt version, long nowNanos,
			List<RunnerState> runners, Wish wish) {
		Choice best = Choice.nobody(version);
		double bestCost = Double.MAX_VALUE;
		int engines = 0;
		for (RunnerState runner : runners) {
			if (!fits(job, runner, engine, version, nowNanos) || bindsSooner(runner, engine, nowNanos)
					|| (wish != Wish.ANY && !runner.health.usable(nowNanos))) {
				continue;
			}
			engines++;
			PeerLoad load = runner.total(nowNanos);
			double base = predict(runner, engine, load, job);
			double predicted = base * this.paces.of(job.service()) * runner.pace;
			if (wish == Wish.WELL_AND_ENDS && endsLate(job, runner, engine, load, predicted, nowNanos)) {
				continue;
			}
			Choice choice = choice(runner, engine, load, base, predicted, version, nowNanos);
			double cost = predicted + distance(job, runner, engine, predicted) + (choice.room() ? 0 : NO_ROOM_MILLIS)
					+ this.random.nextDouble() * ALIKE_MILLIS;
			if (cost < bestCost) {
				bestCost = cost;
				best = choice;
			}
		}
		double shown = (double) this.book.of(job.service()).size() / Math.max(1, runners.size());
		return best.among(engines * shown, engine, this.entries.all());
	}

	private Choice choice(RunnerState runner, Optional<EngineSpec> engine, PeerLoad load, double base, double predicted,
			OptionalInt version, long nowNanos) {
		if (engine.isEmpty()) {
			int places = runner.info.slots() + PLAIN_QUEUE;
			return new Choice(Optional.of(runner), base, predicted, 0, load.active() < places,
					(double) load.active() / places, false, 0, version);
		}
		EngineSpec spec = engine.get();
		int free = spec.slots() + QUEUED - load.active();
		boolean room = free > 0 && runner.share.left(free, this.entries.sharing(runner.info.place(), this.place),
				this.random, nowNanos);
		double wait = EngineForecast.slotWaitMillis(spec, load) * predicted / base;
		OptionalInt bound = version.isPresent() ? runner.version(spec.model()) : version;
		return new Choice(Optional.of(runner), base, predicted, wait, room, (double) load.active() / spec.slots(), true,
				0, bound);
	}

	// Load: engines change weights one after the other under full traffic. Harm
	// prevented: an engine that has been given a long answer just before its turn is
	// away until that has ended, with its other slots empty.
	private static boolean endsLate(Job job, RunnerState runner, Optional<EngineSpec> engine, PeerLoad load,
			double predicted, long nowNanos) {
		if (engine.isEmpty() || runner.closesNanos().isEmpty()) {
			return false;
		}
		double left = (double) (runner.closesNanos().getAsLong() - nowNanos) / NANOS_PER_MILLI;
		// Callers declare the same bound for long and short answers; their estimate is
		// right in the median.
		int tokens = job.size().likelyAnswerTokens().orElse(engine.get().usualAnswer());
		return predicted + EngineForecast.answerMillis(engine.get(), load, tokens) > left;
	}

	private double distance(Job job, RunnerState runner, Optional<EngineSpec> engine, double predicted) {
		if (runner.info.place().equals(this.place)) {
			return 0;
		}
		if (engine.isEmpty()) {
			return OTHER_PLACE_MILLIS;
		}
		double spare = (job.route().target().toMillis() - predicted) * OTHER_PLACE_SHARE;
		return Math.clamp(spare, OTHER_PLACE_MILLIS, OTHER_PLACE_MOST_MILLIS);
	}

	private static boolean fits(Job job, RunnerState runner, Optional<EngineSpec> engine, OptionalInt version,
			long nowNanos) {
		if (runner.info.draining() || runner.gone || runner.switching() || runner.leftOut(nowNanos)
				|| runner.way.beingTried() || runner.way.closed(nowNanos)) {
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
		// A stream that has begun goes on only where the same weights are, and begins
		// anew there: not on weights that are over by then.
		boolean same = job.events() == 0 || job.weightsVersion().isEmpty() || held.equals(job.weightsVersion());
		return same && (version.isEmpty() || held.getAsInt() >= version.getAsInt());
	}

	/**
	 * Returns until when a request must have begun at a runner, or be taken back.
	 */
	long beginBy(RunnerState runner, Optional<EngineSpec> engine) {
		Optional<String> model = engine.map(EngineSpec::model);
		OptionalInt held = model.map(runner::version).orElse(OptionalInt.empty());
		return held.isPresent() ? this.fence.beginBy(model.get(), held.getAsInt()) : Long.MAX_VALUE;
	}

	/**
	 * Returns whether it matters now if the way to a runner is open: it may be closed, or
	 * what is sent there has to begin before newer weights bind.
	 */
	boolean wayMatters(RunnerState runner, Optional<EngineSpec> engine, long nowNanos) {
		long beginBy = beginBy(runner, engine);
		return runner.way.doubtful(nowNanos) || (beginBy != Long.MAX_VALUE && nowNanos < beginBy);
	}

	/**
	 * Returns whether a request may leave only over a connection that is made for it.
	 */
	boolean triesWay(RunnerState runner, Optional<EngineSpec> engine, long nowNanos) {
		return wayMatters(runner, engine, nowNanos) && !runner.way.seenOpen(nowNanos);
	}

	// What was left out, or has not answered for long, is bound by its own waits, whoever
	// waited there.
	private boolean bindsSooner(RunnerState runner, Optional<EngineSpec> engine, long nowNanos) {
		boolean doubtful = runner.health.onProbation() || runner.way.doubtful(nowNanos);
		if (engine.isEmpty() || !doubtful) {
			return false;
		}
		long begun = Math.max(runner.waits.nanos(false, nowNanos), runner.waits.nanos(true, nowNanos));
		long wait = Math.max(begun, runner.way.heldNanos(nowNanos));
		OptionalInt version = this.fence.required(engine.get().model(), wait, nowNanos);
		OptionalInt held = runner.version(engine.get().model());
		return version.isPresent() && held.isPresent() && held.getAsInt() < version.getAsInt();
	}

	private static double predict(RunnerState runner, Optional<EngineSpec> engine, PeerLoad load, Job job) {
		if (engine.isEmpty()) {
			return (double) load.active() / Math.max(1, runner.info.slots()) * ALIKE_MILLIS * 2;
		}
		return EngineForecast.firstEventMillis(engine.get(), load, prompt(job, engine.get()));
	}

	private static int prompt(Job job, EngineSpec engine) {
		return (job.size().promptTokens() > 0) ? job.size().promptTokens() : engine.usualPrompt();
	}

	/**
	 * What is asked of a runner, the most first; less is asked when nobody meets it.
	 */
	private enum Wish {

		/** It is well, and ends the answer before it changes weights. */
		WELL_AND_ENDS,
		/** It is well. */
		WELL,
		/**
		 * Any. When all are left out for their failures the cause is likely elsewhere,
		 * and one that fails part of its requests is better than none.
		 */
		ANY

	}

	/**
	 * What the best runner promises.
	 *
	 * @param runner empty when no runner can be used
	 * @param baseMillis to the first event, by the declared speed alone
	 * @param predictedMillis to the first event
	 * @param slotWaitMillis the part of it that is the wait for a slot
	 * @param room whether one of its slots is free
	 * @param used the share of its slots that are taken
	 * @param engine whether it is a model engine
	 * @param slotEveryMillis how often a slot comes free for this entry
	 * @param requiredVersion the version that the request must start on
	 */
	record Choice(Optional<RunnerState> runner, double baseMillis, double predictedMillis, double slotWaitMillis,
			boolean room, double used, boolean engine, double slotEveryMillis, OptionalInt requiredVersion) {

		static Choice nobody(OptionalInt version) {
			return new Choice(Optional.empty(), 0, Double.MAX_VALUE, 0, false, 1, false, 0, version);
		}

		boolean none() {
			return this.runner.isEmpty();
		}

		private Choice among(double engines, Optional<EngineSpec> spec, int entries) {
			if (none() || spec.isEmpty()) {
				return this;
			}
			double slots = engines * spec.get().slots() / entries;
			return new Choice(this.runner, this.baseMillis, this.predictedMillis, this.slotWaitMillis, this.room,
					this.used, true, EngineForecast.residenceMillis(spec.get()) / slots, this.requiredVersion);
		}

	}

}
