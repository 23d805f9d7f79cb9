package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.routing.EngineSpec;

/**
 * Chooses the runner that is predicted to respond to a request first.
 *
 * Several entries send to the same runners and each sees only part of the load. To keep
 * them from all choosing the runner that looked idle in the last report, the load
 * reported by peers is added to the local in-flight load, and ties between similar
 * predictions are broken at random.
 */
final class Placement {

	static final long NANOS_PER_MILLI = 1_000_000;

	// Requests that the runner of a plain service may queue beyond its slots.
	private static final int PLAIN_QUEUE = 4;

	// Random cost added to each prediction, so that predictions that differ by less than
	// half a typical decode step are treated as equal.
	private static final double TIE_BREAK_MILLIS = 5;

	// Network round trip to another failure domain.
	private static final double REMOTE_MIN_COST_MILLIS = 4;

	// Traffic between failure domains is limited and billed; a stream takes about 5 KB.
	// A request is sent to a remote engine only for a gain that its caller notices: this
	// share of the remaining time to the latency target, capped at slightly more than
	// the advantage of an idle engine over one that has just started to decode.
	private static final double REMOTE_COST_SHARE = 0.2;

	private static final double REMOTE_MAX_COST_MILLIS = 80;

	// Requests that an engine may queue beyond its slots, so that a freed slot is filled
	// immediately. The prediction includes the wait in this queue. Keeping slots free
	// for other entries instead would refuse a fifth of the requests at 90 % of the
	// capacity.
	private static final int ENGINE_QUEUE = 2;

	// Less urgent requests are never kept out of an idle engine, also of one with few
	// slots.
	private static final double MAX_RESERVED_SHARE = 0.75;

	// Cost of a runner without free capacity. It exceeds any prediction that meets a
	// latency target, so that a runner with free capacity is preferred.
	private static final double FULL_RUNNER_COST_MILLIS = 10_000;

	private final RegionalRunners runners;

	private final ServiceLatencyFactors latencyFactors;

	private final WeightsFence fence;

	private final RunnerEligibility eligibility;

	private final RateLimits rateLimits;

	private final String failureDomain;

	private final UniformRandomProvider random;

	private EntryCount entryCount = EntryCount.unpartitioned(1);

	Placement(RunnerRegistry registry, ServiceLatencyFactors latencyFactors, WeightsFence fence, RateLimits rateLimits,
			EvacuatedRunners evacuated, DispatchLimits limits, UniformRandomProvider random) {
		this.latencyFactors = latencyFactors;
		this.fence = fence;
		this.eligibility = new RunnerEligibility(fence, limits.regions(), evacuated);
		this.runners = new RegionalRunners(registry, limits.regions(), this.eligibility, evacuated);
		this.rateLimits = rateLimits;
		this.failureDomain = limits.failureDomain();
		this.random = random;
	}

	/**
	 * Updates the number of entries.
	 */
	void updateEntryCount(EntryCount count) {
		this.entryCount = count;
	}

	/**
	 * Returns the best runner for a request now.
	 * @param engine the engine specification, if the service runs model engines
	 * @param late whether the request has the rank of late requests
	 */
	Choice choose(Job job, Optional<EngineSpec> engine, boolean late, long nowNanos) {
		if (this.runners.unavailable(job)) {
			return Choice.outsideAllowedRegions();
		}
		List<RunnerState> all = this.runners.all(job);
		List<RunnerState> candidates = this.runners.candidates(job);
		long wait = maxFirstEventWait(candidates, late, nowNanos);
		OptionalInt version = engine.isPresent() ? this.fence.requiredVersion(engine.get().model(), wait, nowNanos)
				: OptionalInt.empty();
		Choice best = best(job, engine, version, nowNanos, candidates);
		if (best.isEmpty() && candidates.size() < all.size()) {
			return best(job, engine, version, nowNanos, all);
		}
		return best;
	}

	// While a target weights version is about to take effect, one runner whose network
	// path delays requests by seconds must not move the start deadline for all other
	// runners. Runners on probation are therefore ignored.
	private static long maxFirstEventWait(List<RunnerState> runners, boolean late, long nowNanos) {
		long maxWait = 0;
		for (RunnerState runner : runners) {
			if (!runner.health.onProbation()) {
				maxWait = Math.max(maxWait, runner.firstEventWaits.maxNanos(late, nowNanos));
			}
		}
		return maxWait;
	}

	private Choice best(Job job, Optional<EngineSpec> engine, OptionalInt version, long nowNanos,
			List<RunnerState> runners) {
		for (Requirement requirement : Requirement.values()) {
			Choice best = best(job, engine, version, nowNanos, runners, requirement);
			if (!best.isEmpty()) {
				return best;
			}
		}
		OptionalLong permitNanos = this.rateLimits.nextPermitNanos(runners,
				(runner) -> this.eligibility.eligible(job, runner, engine, version, nowNanos),
				this.eligibility::withdrawn, nowNanos);
		return Choice.noRunner(version, permitNanos, restEndNanos(runners, nowNanos));
	}

	// Empty unless every runner that is not leaving or evacuated wants no requests: any
	// other may be usable in a moment.
	private OptionalLong restEndNanos(List<RunnerState> runners, long nowNanos) {
		List<RunnerState> staying = runners.stream().filter((runner) -> !this.eligibility.withdrawn(runner)).toList();
		return staying.stream().allMatch((runner) -> runner.rest.active(nowNanos))
				? staying.stream().mapToLong((runner) -> runner.rest.endNanos(nowNanos).orElseThrow()).min()
				: OptionalLong.empty();
	}

	private Choice best(Job job, Optional<EngineSpec> engine, OptionalInt version, long nowNanos,
			List<RunnerState> runners, Requirement requirement) {
		Choice best = Choice.noRunner(version, OptionalLong.empty(), OptionalLong.empty());
		double bestCost = Double.MAX_VALUE;
		int usable = 0;
		for (RunnerState runner : runners) {
			if (!this.eligibility.eligible(job, runner, engine, version, nowNanos)
					|| this.eligibility.mayStartTooLate(runner, engine, nowNanos)
					|| (requirement != Requirement.ANY && !runner.health.usable(nowNanos))) {
				continue;
			}
			usable++;
			if (!this.rateLimits.permits(runner, nowNanos)) {
				continue;
			}
			InFlightLoad load = runner.total(nowNanos);
			double nominal = nominalMillis(runner, engine, load, job);
			double predicted = nominal * this.latencyFactors.of(job.service()) * runner.latencyFactor
					* runner.pace(nowNanos);
			if (requirement == Requirement.HEALTHY_AND_ENDS_BEFORE_SWITCH
					&& endsAfterSwitch(job, runner, engine, load, predicted, nowNanos)) {
				continue;
			}
			Choice choice = choice(job, runner, engine, load, nominal, predicted, version, nowNanos);
			double cost = predicted + remoteCostMillis(job, runner, engine, predicted)
					+ (choice.hasFreeCapacity() ? 0 : FULL_RUNNER_COST_MILLIS)
					+ this.random.nextDouble() * TIE_BREAK_MILLIS;
			if (cost < bestCost) {
				bestCost = cost;
				best = choice;
			}
		}
		double candidateRatio = (double) this.runners.serviceSize(job) / Math.max(1, runners.size());
		return best.withSlotInterval(usable * candidateRatio, engine, this.entryCount.total());
	}

	private Choice choice(Job job, RunnerState runner, Optional<EngineSpec> engine, InFlightLoad load, double nominal,
			double predicted, OptionalInt version, long nowNanos) {
		if (engine.isEmpty()) {
			int capacity = runner.info.slots() + PLAIN_QUEUE;
			return new Choice(Optional.of(runner), nominal, predicted, 0, load.requests() < capacity,
					(double) load.requests() / capacity, false, 0, version, OptionalLong.empty(), OptionalLong.empty(),
					false);
		}
		EngineSpec spec = engine.get();
		int free = spec.slots() + ENGINE_QUEUE - load.requests();
		int reserved = Math.min(job.reservedSlots, (int) (MAX_RESERVED_SHARE * spec.slots()));
		boolean hasFreeCapacity = free > reserved && runner.capacityShare.available(free,
				this.entryCount.sendersTo(runner.info.failureDomain(), this.failureDomain), this.random, nowNanos);
		double wait = EngineLatencyModel.slotWaitMillis(spec, load) * predicted / nominal;
		OptionalInt requiredVersion = version.isPresent() ? runner.weightsVersion(spec.model()) : version;
		return new Choice(Optional.of(runner), nominal, predicted, wait, hasFreeCapacity,
				(double) load.requests() / spec.slots(), true, 0, requiredVersion, OptionalLong.empty(),
				OptionalLong.empty(), false);
	}

	// Engines switch weights one after the other under full load. A long response
	// started shortly before the switch would keep an engine from switching, with its
	// other slots empty.
	private static boolean endsAfterSwitch(Job job, RunnerState runner, Optional<EngineSpec> engine, InFlightLoad load,
			double predicted, long nowNanos) {
		if (engine.isEmpty() || runner.switchStartNanos().isEmpty()) {
			return false;
		}
		double remaining = (double) (runner.switchStartNanos().getAsLong() - nowNanos) / NANOS_PER_MILLI;
		// Callers declare the same maximum for long and short responses, so their
		// estimate is used instead; it is correct in the median.
		int tokens = job.size().expectedAnswerTokens().orElse(engine.get().meanAnswerTokens());
		return predicted + EngineLatencyModel.responseMillis(engine.get(), load, tokens) > remaining;
	}

	private double remoteCostMillis(Job job, RunnerState runner, Optional<EngineSpec> engine, double predicted) {
		if (runner.info.failureDomain().equals(this.failureDomain)) {
			return 0;
		}
		if (engine.isEmpty()) {
			return REMOTE_MIN_COST_MILLIS;
		}
		double cost = (job.route().targetLatency().toMillis() - predicted) * REMOTE_COST_SHARE;
		return Math.clamp(cost, REMOTE_MIN_COST_MILLIS, REMOTE_MAX_COST_MILLIS);
	}

	/**
	 * Returns the time by which a request must have started at a runner. Otherwise it
	 * must be cancelled.
	 */
	long startDeadlineNanos(RunnerState runner, Optional<EngineSpec> engine) {
		Optional<String> model = engine.map(EngineSpec::model);
		OptionalInt held = model.map(runner::weightsVersion).orElse(OptionalInt.empty());
		return held.isPresent() ? this.fence.startDeadlineNanos(model.get(), held.getAsInt()) : Long.MAX_VALUE;
	}

	/**
	 * Returns whether a request has not started in time at its runner.
	 */
	boolean startDeadlinePassed(Dispatch dispatch, Optional<EngineSpec> engine, long nowNanos) {
		return !dispatch.hasOutput() && nowNanos >= startDeadlineNanos(dispatch.runner, engine);
	}

	/**
	 * Returns whether the state of the network path to a runner must be verified: the
	 * path is suspect, or requests sent there must start before a newer weights version
	 * takes effect.
	 */
	boolean needsPathCheck(RunnerState runner, Optional<EngineSpec> engine, long nowNanos) {
		long beginBy = startDeadlineNanos(runner, engine);
		return runner.path.suspect(nowNanos) || (beginBy != Long.MAX_VALUE && nowNanos < beginBy);
	}

	/**
	 * Returns whether a request may only be sent over a newly established connection.
	 */
	boolean requiresNewConnection(RunnerState runner, Optional<EngineSpec> engine, long nowNanos) {
		return needsPathCheck(runner, engine, nowNanos) && !runner.path.recentlyConfirmed(nowNanos);
	}

	private static double nominalMillis(RunnerState runner, Optional<EngineSpec> engine, InFlightLoad load, Job job) {
		if (engine.isEmpty()) {
			return (double) load.requests() / Math.max(1, runner.info.slots()) * TIE_BREAK_MILLIS * 2;
		}
		return EngineLatencyModel.firstEventMillis(engine.get(), load, promptTokens(job, engine.get()));
	}

	private static int promptTokens(Job job, EngineSpec engine) {
		return (job.size().promptTokens() > 0) ? job.size().promptTokens() : engine.meanPromptTokens();
	}

	/**
	 * Requirements on a runner, from strict to relaxed. The next one is used if no runner
	 * meets the previous one.
	 */
	private enum Requirement {

		/**
		 * The runner is healthy and is predicted to end the response before it switches
		 * weights.
		 */
		HEALTHY_AND_ENDS_BEFORE_SWITCH,
		/** The runner is healthy. */
		HEALTHY,
		/**
		 * Any runner. When all runners are ejected the cause is likely elsewhere, and a
		 * runner that fails some requests is better than none.
		 */
		ANY

	}

	/**
	 * The chosen runner and the predictions for it.
	 *
	 * @param runner the runner; empty if no runner can be used
	 * @param nominalMillis the predicted time to the first event by the declared engine
	 * speed alone
	 * @param predictedMillis the predicted time to the first event
	 * @param slotWaitMillis the part of {@code predictedMillis} spent waiting for a slot
	 * @param hasFreeCapacity whether the runner can take one more request
	 * @param utilization the share of its slots that are taken
	 * @param engine whether the runner is a model engine
	 * @param slotIntervalMillis the expected interval at which slots become free for this
	 * entry
	 * @param requiredVersion the weights version that the request must start on
	 * @param permitNanos when a runner may be sent a request, if there is none only
	 * because runners limit their rate
	 * @param restEndNanos when the first runner takes requests again, if there is none
	 * because all want none for a time
	 * @param regionUnavailable whether there is no runner because none is in a region
	 * that is allowed
	 */
	record Choice(Optional<RunnerState> runner, double nominalMillis, double predictedMillis, double slotWaitMillis,
			boolean hasFreeCapacity, double utilization, boolean engine, double slotIntervalMillis,
			OptionalInt requiredVersion, OptionalLong permitNanos, OptionalLong restEndNanos,
			boolean regionUnavailable) {

		static Choice noRunner(OptionalInt version, OptionalLong permitNanos, OptionalLong restEndNanos) {
			return new Choice(Optional.empty(), 0, Double.MAX_VALUE, 0, false, 1, false, 0, version, permitNanos,
					restEndNanos, false);
		}

		static Choice outsideAllowedRegions() {
			return new Choice(Optional.empty(), 0, Double.MAX_VALUE, 0, false, 1, false, 0, OptionalInt.empty(),
					OptionalLong.empty(), OptionalLong.empty(), true);
		}

		boolean isEmpty() {
			return this.runner.isEmpty();
		}

		boolean rateLimited() {
			return this.permitNanos.isPresent();
		}

		private Choice withSlotInterval(double engines, Optional<EngineSpec> spec, int entries) {
			if (isEmpty() || spec.isEmpty()) {
				return this;
			}
			double slots = engines * spec.get().slots() / entries;
			return new Choice(this.runner, this.nominalMillis, this.predictedMillis, this.slotWaitMillis,
					this.hasFreeCapacity, this.utilization, true, EngineLatencyModel.slotHoldMillis(spec.get()) / slots,
					this.requiredVersion, this.permitNanos, this.restEndNanos, false);
		}

	}

}
