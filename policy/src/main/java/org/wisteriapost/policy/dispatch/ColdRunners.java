package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.wisteriapost.policy.coldstart.ColdChange;
import org.wisteriapost.policy.coldstart.ColdPeriod;
import org.wisteriapost.policy.coldstart.ColdStart;
import org.wisteriapost.policy.coldstart.ColdStartBound;
import org.wisteriapost.policy.coldstart.RegisteredEntries;
import org.wisteriapost.policy.coldstart.SharingEntries;
import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Limits the requests to runners that have just started. A cold runner crashes when all
 * entries together send it more than the site's bound in any one second.
 */
public final class ColdRunners {

	private final RunnerRegistry registry;

	private final EngineSpecs specs;

	private final ColdStartBound bound;

	private final SharingEntries entries = new SharingEntries();

	// Runners that counted as cold at the latest update, with the reason.
	private final Map<RunnerState, ColdPeriod> cold = new LinkedHashMap<>();

	private List<ColdChange> changes = new ArrayList<>();

	private int usedPermits;

	ColdRunners(RunnerRegistry registry, EngineSpecs specs, ColdStartBound bound) {
		this.registry = registry;
		this.specs = specs;
		this.bound = bound;
	}

	/**
	 * Updates the entries that share the limit. Called every 100 ms, also without a
	 * change.
	 * @param stalenessMillis how old the view of the entries is; empty if it was not
	 * confirmed
	 */
	public void updateEntries(RegisteredEntries registered, OptionalLong stalenessMillis, long nowNanos) {
		this.entries.update(registered, stalenessMillis, nowNanos);
		if (this.specs.coldStarts().isEmpty() && this.cold.isEmpty()) {
			return;
		}
		this.usedPermits = 0;
		List<RunnerState> ended = this.cold.keySet()
			.stream()
			.filter((runner) -> runner.removed || period(runner, nowNanos).isEmpty())
			.toList();
		ended.forEach(this::warm);
		for (RunnerState runner : this.registry.states()) {
			period(runner, nowNanos).ifPresent((period) -> cold(runner, period, nowNanos));
		}
	}

	private void warm(RunnerState runner) {
		this.cold.remove(runner);
		this.changes.add(new ColdChange(runner.info.id(), Optional.empty(), Duration.ZERO, 0, this.entries.count()));
	}

	private void cold(RunnerState runner, ColdPeriod period, long nowNanos) {
		this.usedPermits += runner.coldness.recentSends(nowNanos);
		ColdPeriod known = this.cold.put(runner, period);
		if (known == null || known.reason() != period.reason()) {
			this.changes.add(new ColdChange(runner.info.id(), Optional.of(period.reason()),
					Duration.ofNanos(period.untilNanos() - nowNanos), permitCount(runner, nowNanos),
					this.entries.count()));
		}
	}

	/**
	 * Returns the changes since the previous call, in order.
	 */
	public List<ColdChange> drainChanges() {
		List<ColdChange> drained = this.changes;
		this.changes = new ArrayList<>();
		return drained;
	}

	/**
	 * Returns the number of runners that counted as cold at the latest update.
	 */
	public int count() {
		return this.cold.size();
	}

	/**
	 * Returns the permits that were in use at the latest update.
	 */
	public int usedPermits() {
		return this.usedPermits;
	}

	/**
	 * Returns the ids of a service's runners that count as cold.
	 */
	public List<String> coldRunners(String service, long nowNanos) {
		return this.registry.forService(service)
			.stream()
			.filter((runner) -> period(runner, nowNanos).isPresent())
			.map((runner) -> runner.info.id())
			.toList();
	}

	/**
	 * Records that a runner states in a response that it is cold.
	 * @param runner the incarnation that answered
	 */
	public void stated(RunnerInfo runner, Duration remaining, long nowNanos) {
		this.registry.find(runner).ifPresent((state) -> state.coldness.stated(remaining, nowNanos));
	}

	/**
	 * Records that a runner accepts no connections. Requests can reach its next
	 * incarnation before this entry learns of it, so it counts as cold already.
	 */
	public void unreachable(RunnerInfo runner, long nowNanos) {
		ColdStart coldStart = this.specs.coldStarts().get(runner.service());
		if (coldStart != null) {
			this.registry.find(runner)
				.ifPresent((state) -> state.coldness.presumeColdUntil(nowNanos + coldStart.duration().toNanos()));
		}
	}

	/**
	 * Records that an evacuation of a failure domain has ended. Runners there may have
	 * become cold meanwhile, so each counts as cold until a registration of a higher
	 * revision states that it is not.
	 * @param revision the store's revision of the end
	 */
	void evacuationEnded(String failureDomain, long revision, long nowNanos) {
		for (RunnerState state : this.registry.statesWithRemoved()) {
			ColdStart coldStart = this.specs.coldStarts().get(state.info.service());
			if (coldStart != null && state.info.failureDomain().equals(failureDomain)) {
				state.coldness.presumeColdUntil(nowNanos + coldStart.duration().toNanos(), revision);
			}
		}
	}

	/**
	 * Returns whether a request may be sent to a runner now.
	 */
	boolean permits(RunnerState runner, long nowNanos) {
		if (this.specs.coldStarts().isEmpty()) {
			return true;
		}
		return nextSendNanos(runner, nowNanos) - nowNanos <= 0;
	}

	/**
	 * Returns when a request may be sent to a runner, as far as that depends on whether
	 * it is cold.
	 */
	long nextSendNanos(RunnerState runner, long nowNanos) {
		Optional<ColdPeriod> period = period(runner, nowNanos);
		if (period.isEmpty()) {
			return nowNanos;
		}
		long warmNanos = period.get().untilNanos();
		long next = runner.coldness.nextSendNanos(permitCount(runner, nowNanos), nowNanos).orElse(warmNanos);
		return (next - warmNanos < 0) ? next : warmNanos;
	}

	private Optional<ColdPeriod> period(RunnerState runner, long nowNanos) {
		ColdStart coldStart = this.specs.coldStarts().get(runner.info.service());
		if (coldStart == null) {
			return Optional.empty();
		}
		runner.coldness.recordSends();
		return runner.coldness.period(coldStart, nowNanos);
	}

	private int permitCount(RunnerState runner, long nowNanos) {
		double max = this.bound.maxRequests(this.specs.coldStarts().get(runner.info.service()));
		return this.entries.permits(runner.info.id(), runner.info.failureDomain(), max, nowNanos);
	}

}
