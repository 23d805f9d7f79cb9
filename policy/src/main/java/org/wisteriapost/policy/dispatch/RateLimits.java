package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.ratelimit.DemandShares;
import org.wisteriapost.policy.ratelimit.EntryGroup;
import org.wisteriapost.policy.ratelimit.RateLimitChange;
import org.wisteriapost.policy.ratelimit.RateLimitReport;
import org.wisteriapost.policy.ratelimit.RateLimitSource;
import org.wisteriapost.policy.ratelimit.RateStatement;

/**
 * Keeps the rates that runners in need ask for, and the limit of runners that have just
 * started. Such a runner takes a number of requests a second from all entries together;
 * more would make it fail those that it has.
 *
 * Each request counts that is sent to the runner, retries and resumed streams included.
 */
public final class RateLimits {

	private final RunnerRegistry registry;

	private final UniformRandomProvider random;

	private final DemandShares shares = new DemandShares();

	private final ColdRunners coldRunners;

	// Runners that name a limit, or have named one lately.
	private final Map<String, RunnerState> limited = new LinkedHashMap<>();

	private List<RateLimitChange> changes = new ArrayList<>();

	RateLimits(RunnerRegistry registry, DispatchLimits limits, EngineSpecs specs, UniformRandomProvider random) {
		this.registry = registry;
		this.coldRunners = new ColdRunners(registry, specs, limits.coldStartBound());
		this.random = random;
	}

	/**
	 * Updates the entries that share the limits.
	 */
	public void updateGroup(EntryGroup entries) {
		this.shares.updateGroup(entries);
	}

	/**
	 * Returns the limit of runners that have just started.
	 */
	public ColdRunners coldRunners() {
		return this.coldRunners;
	}

	/**
	 * Adds what another entry reports.
	 */
	public void merge(String peer, RateLimitReport report, long nowNanos) {
		report.demands().forEach((demand) -> this.shares.update(peer, demand.service(), demand.perSecond(), nowNanos));
		for (RateLimitReport.Limit limit : report.limits()) {
			this.registry.find(limit.runnerId())
				.filter((state) -> state.info.incarnation().equals(limit.incarnation()))
				.ifPresent((state) -> {
					if (state.rateLimit.reported(limit.statement())) {
						Duration age = Duration.ofNanos(nowNanos - limit.statement().latestNanos());
						changed(state, new RateLimitSource.Report(peer, age), nowNanos);
					}
				});
		}
	}

	/**
	 * Returns what to tell other entries; empty without a limited runner.
	 */
	public Optional<RateLimitReport> report(long nowNanos) {
		this.limited.values()
			.removeIf((state) -> state.removed
					|| (state.rateLimit.perSecond().isEmpty() && state.rateLimit.lastTold(nowNanos).isEmpty()));
		if (this.limited.isEmpty()) {
			return Optional.empty();
		}
		List<RateLimitReport.Limit> limits = new ArrayList<>();
		this.limited.values()
			.forEach((state) -> state.rateLimit.lastTold(nowNanos)
				.ifPresent((told) -> limits
					.add(new RateLimitReport.Limit(state.info.id(), state.info.incarnation(), told))));
		List<RateLimitReport.Demand> demands = this.limited.values()
			.stream()
			.map((state) -> state.info.service())
			.distinct()
			.map((service) -> new RateLimitReport.Demand(service, this.shares.demand(service, nowNanos)))
			.toList();
		return Optional.of(new RateLimitReport(limits, demands));
	}

	/**
	 * Returns the number of runners that name a limit.
	 */
	public int limitedRunners() {
		return (int) this.limited.values().stream().filter((state) -> state.rateLimit.perSecond().isPresent()).count();
	}

	/**
	 * Returns the changes of limits since the previous call, in order.
	 */
	public List<RateLimitChange> drainChanges() {
		List<RateLimitChange> drained = this.changes;
		this.changes = new ArrayList<>();
		return drained;
	}

	void requestArrived(Job job, long nowNanos) {
		this.shares.recordArrival(job.service(), nowNanos);
	}

	/**
	 * Records what the answer to a dispatch states when its head is read. A dispatch that
	 * was ended here states nothing.
	 * @param perSecond the requests a second that the runner takes; empty for no limit
	 */
	public void stated(Job job, int dispatch, OptionalDouble perSecond, long nowNanos) {
		job.openDispatch(dispatch).ifPresent((open) -> {
			RateStatement statement = RateStatement.answered(perSecond, open.sentNanos, nowNanos);
			if (open.runner.rateLimit.answered(statement)) {
				Duration requestAge = Duration.ofNanos(nowNanos - open.sentNanos);
				changed(open.runner, new RateLimitSource.Answer(job.attemptId(), dispatch, requestAge), nowNanos);
			}
		});
	}

	/**
	 * Returns whether a request may be sent to a runner now. If the runner names a rate
	 * while it is cold, both limits apply.
	 */
	boolean permits(RunnerState runner, long nowNanos) {
		return this.coldRunners.permits(runner, nowNanos) && (runner.rateLimit.perSecond().isEmpty()
				|| runner.rateLimit.permits(share(runner, nowNanos), this.random, nowNanos));
	}

	/**
	 * Returns when a request may be sent to one of these runners, if there is none for it
	 * only because they limit their rate. That is now if it can't be known.
	 * @param eligible whether the request may be sent to a runner, apart from its rate
	 * @param withdrawn whether a runner takes no requests whatever its rate
	 */
	OptionalLong nextPermitNanos(List<RunnerState> runners, Predicate<RunnerState> eligible,
			Predicate<RunnerState> withdrawn, long nowNanos) {
		if (runners.stream().noneMatch((runner) -> !permits(runner, nowNanos) && eligible.test(runner))) {
			return OptionalLong.empty();
		}
		return runners.stream()
			.filter(withdrawn.negate())
			.mapToLong((runner) -> this.coldRunners.nextSendNanos(runner, nowNanos))
			.min();
	}

	private double share(RunnerState runner, long nowNanos) {
		return this.shares.share(runner.info.service(), runner.info.failureDomain(), nowNanos);
	}

	private void changed(RunnerState runner, RateLimitSource source, long nowNanos) {
		this.limited.put(runner.info.id(), runner);
		OptionalDouble perSecond = runner.rateLimit.perSecond();
		this.changes.add(new RateLimitChange(runner.info.id(), perSecond, share(runner, nowNanos), source));
	}

}
