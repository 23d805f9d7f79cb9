package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * All runners known to this entry. {@link #refresh} decides whether a runner can take a
 * call now.
 */
final class RunnerRegistry {

	/**
	 * After the start of the entry, runners are new to it but not cold, so that they need
	 * no slow start.
	 */
	private static final long STARTUP_GRACE_NANOS = Duration.ofSeconds(10).toNanos();

	/** Minimum backoff after a refusal of a full gate, jittered. */
	private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(20).toNanos();

	private final RequestPolicySettings settings;

	private final UniformRandomProvider random;

	private final SlowStart slowStart;

	private final OutlierEjection outliers;

	private final Map<String, RunnerState> runners = new HashMap<>();

	private final Map<String, ServiceState> services = new HashMap<>();

	private final PriorityQueue<ScheduledRefresh> scheduledRefreshes = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledRefresh::nanos));

	private final Set<ServiceState> changed = new LinkedHashSet<>();

	private Map<String, Set<String>> digestsByService = Map.of();

	private Set<String> leavingVms = Set.of();

	private long generation;

	private long firstReportNanos;

	private boolean reportReceived;

	RunnerRegistry(RequestPolicySettings settings, UniformRandomProvider random) {
		this.settings = settings;
		this.random = random;
		this.slowStart = new SlowStart(settings);
		this.outliers = new OutlierEjection(settings, random);
	}

	/**
	 * Returns a service that is in the head or provided by a known runner.
	 */
	Optional<ServiceState> service(String name) {
		if (!this.digestsByService.containsKey(name) && !this.services.containsKey(name)) {
			return Optional.empty();
		}
		return Optional.of(serviceOf(name));
	}

	/**
	 * Removes and returns a service whose runners or queue changed since they were last
	 * processed.
	 */
	Optional<ServiceState> nextChanged() {
		Optional<ServiceState> next = this.changed.stream().findFirst();
		next.ifPresent(this.changed::remove);
		return next;
	}

	void markChanged(ServiceState service) {
		this.changed.add(service);
	}

	void evictIdle(long nowNanos) {
		for (ServiceState service : this.services.values()) {
			service.queue.evictIdle();
			service.arrivals.evictIdle(nowNanos);
		}
	}

	void onReport(RunnerStatus status, long nowNanos) {
		if (!this.reportReceived) {
			this.reportReceived = true;
			this.firstReportNanos = nowNanos;
		}
		RunnerState known = this.runners.get(status.runner());
		if (known != null && !known.status.service().equals(status.service())) {
			onDisconnect(status.runner(), nowNanos);
			known = null;
		}
		RunnerState runner = (known != null) ? known : new RunnerState(status);
		this.runners.put(status.runner(), runner);
		runner.status = status;
		runner.inFlightAtReport = runner.inFlight;
		ConcurrencyLimit.onReport(runner, nowNanos);
		RunnerPool pool = poolOf(runner);
		status.prefixes().forEach((prefix) -> pool.recordPrefix(prefix, runner));
		refresh(runner, nowNanos);
	}

	void onDisconnect(String name, long nowNanos) {
		RunnerState runner = this.runners.remove(name);
		if (runner != null) {
			runner.disconnected = true;
			refresh(runner, nowNanos);
		}
	}

	/**
	 * Applies a head. One older than the current is late and ignored.
	 */
	void onHeadUpdate(RequestEvent.HeadRead head, long nowNanos) {
		if (head.generation() < this.generation) {
			return;
		}
		this.generation = head.generation();
		this.digestsByService = head.digests();
		this.runners.values().forEach((runner) -> refresh(runner, nowNanos));
	}

	void onLeavingVms(Set<String> vms, long nowNanos) {
		Set<String> affected = new HashSet<>(this.leavingVms);
		affected.addAll(vms);
		this.leavingVms = vms;
		for (String vm : affected) {
			Optional.ofNullable(this.runners.get(vm)).ifPresent((runner) -> refresh(runner, nowNanos));
		}
	}

	/**
	 * Records the latency of an answer.
	 * @param complete false when the call was cancelled, so that its duration is only a
	 * lower bound
	 */
	void onAnswer(RunnerState runner, PendingRequest pending, boolean complete, long nowNanos) {
		RunnerPool pool = poolOf(runner);
		double seconds = (nowNanos - pending.dispatchedNanos) / (double) Duration.ofSeconds(1).toNanos();
		double secondsPerCost = seconds / pending.request.cost();
		if (!complete && secondsPerCost <= pool.serviceTime.median()) {
			return;
		}
		pool.serviceTime.addSample(secondsPerCost);
		ConcurrencyLimit.onLatency(runner, secondsPerCost, pool.serviceTime.median(), nowNanos);
		if (complete) {
			// The slot of the completed call is free, however full the runner is
			// otherwise.
			runner.backoffUntilNanos = nowNanos;
			ConcurrencyLimit.onCompletion(runner, pool, serviceOf(runner.status.service()).queue.activeWeight());
			pool.recordPrefix(pending.request.prefix(), runner);
		}
		if (this.outliers.recordAnswer(runner, pool, secondsPerCost, nowNanos)) {
			this.slowStart.begin(runner, pool, nowNanos);
		}
		refresh(runner, nowNanos);
	}

	/**
	 * Records that a full gate refused a call.
	 */
	void onGateFull(RunnerState runner, long retryAfterMillis, long nowNanos) {
		ConcurrencyLimit.onGateFull(runner, poolOf(runner));
		backOff(runner, retryAfterMillis, nowNanos);
		refresh(runner, nowNanos);
	}

	/**
	 * Records that the runner turned a call away and wants no others for a time.
	 */
	void restStated(RunnerState runner, long restMillis, long nowNanos) {
		runner.rest.stated(Duration.ofMillis(restMillis), nowNanos);
		refresh(runner, nowNanos);
	}

	/**
	 * Records a failed call.
	 * @param countsAgainstRunner whether the runner or the network path to it is at fault
	 */
	void onFailure(RunnerState runner, long retryAfterMillis, boolean countsAgainstRunner, long nowNanos) {
		backOff(runner, retryAfterMillis, nowNanos);
		if (countsAgainstRunner) {
			this.outliers.recordFailure(runner, poolOf(runner), nowNanos);
		}
		refresh(runner, nowNanos);
	}

	/**
	 * Refreshes the runners whose scheduled time has come.
	 */
	void refreshDue(long nowNanos) {
		while (!this.scheduledRefreshes.isEmpty() && this.scheduledRefreshes.peek().nanos() <= nowNanos) {
			ScheduledRefresh due = this.scheduledRefreshes.poll();
			if (due.nanos() == due.runner().nextRefreshNanos) {
				due.runner().nextRefreshNanos = Long.MAX_VALUE;
				refresh(due.runner(), nowNanos);
			}
		}
	}

	/**
	 * Updates the pool's lists after any change to the state of a runner.
	 */
	void refresh(RunnerState runner, long nowNanos) {
		RunnerPool pool = poolOf(runner);
		boolean eligible = !runner.disconnected
				&& RunnerSelector.eligible(runner.status, acceptedDigests(runner), this.leavingVms);
		boolean wasEligible = runner.eligibleIndex >= 0;
		pool.setEligible(runner, eligible);
		if (eligible && !wasEligible && nowNanos - this.firstReportNanos > STARTUP_GRACE_NANOS) {
			this.slowStart.begin(runner, pool, nowNanos);
		}
		if (!eligible || this.slowStart.isComplete(runner, nowNanos)) {
			this.slowStart.end(runner, pool);
		}
		if (!eligible) {
			this.outliers.reset(runner, pool);
		}
		int allowed = eligible ? allowed(runner, nowNanos) : 0;
		pool.setSlots(runner, allowed);
		pool.setFree(runner,
				runner.inFlight < allowed && nowNanos >= runner.backoffUntilNanos && !runner.rest.active(nowNanos));
		this.changed.add(serviceOf(runner.status.service()));
		scheduleRefresh(runner, eligible, nowNanos);
	}

	private int allowed(RunnerState runner, long nowNanos) {
		if (runner.ejected) {
			return this.outliers.mayProbe(runner, nowNanos) ? 1 : 0;
		}
		int limit = (int) Math.max(1, Math.min(runner.limit, runner.status.capacity()));
		return this.slowStart.allowedCalls(runner, limit, nowNanos);
	}

	private void backOff(RunnerState runner, long retryAfterMillis, long nowNanos) {
		double jitter = 0.5 + this.random.nextDouble();
		long requestedNanos = Duration.ofMillis(Math.min(retryAfterMillis, 1000)).toNanos();
		long nanos = (long) (Math.max(MIN_BACKOFF_NANOS, requestedNanos) * jitter);
		runner.backoffUntilNanos = Math.max(runner.backoffUntilNanos, nowNanos + nanos);
	}

	private void scheduleRefresh(RunnerState runner, boolean eligible, long nowNanos) {
		if (!eligible) {
			return;
		}
		long nextNanos = Long.MAX_VALUE;
		if (runner.backoffUntilNanos > nowNanos) {
			nextNanos = runner.backoffUntilNanos;
		}
		nextNanos = Math.min(nextNanos, runner.rest.endNanos(nowNanos).orElse(Long.MAX_VALUE));
		if (runner.ejected && runner.ejectedUntilNanos > nowNanos) {
			nextNanos = Math.min(nextNanos, runner.ejectedUntilNanos);
		}
		if (runner.slowStartNanos != Long.MIN_VALUE) {
			nextNanos = Math.min(nextNanos, this.slowStart.nextStepNanos(nowNanos));
		}
		if (nextNanos < runner.nextRefreshNanos) {
			runner.nextRefreshNanos = nextNanos;
			this.scheduledRefreshes.add(new ScheduledRefresh(nextNanos, runner));
		}
	}

	private Set<String> acceptedDigests(RunnerState runner) {
		return this.digestsByService.getOrDefault(runner.status.service(), Set.of());
	}

	private RunnerPool poolOf(RunnerState runner) {
		return serviceOf(runner.status.service()).pool;
	}

	private ServiceState serviceOf(String name) {
		return this.services.computeIfAbsent(name, (key) -> new ServiceState(this.settings));
	}

	private record ScheduledRefresh(long nanos, RunnerState runner) {
	}

}
