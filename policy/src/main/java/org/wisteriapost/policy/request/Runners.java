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
 * All runners that this entry knows, and the one function that says whether each may take
 * a call now.
 */
final class Runners {

	/** After a start all runners are new to this entry, and none of them is cold. */
	private static final long START_NANOS = Duration.ofSeconds(10).toNanos();

	/** A full gate is asked again after this time at the earliest, jittered. */
	private static final long BACKOFF_NANOS = Duration.ofMillis(20).toNanos();

	private final RequestPolicySettings settings;

	private final UniformRandomProvider random;

	private final SlowStart slowStart;

	private final OutlierEjection outliers;

	private final Map<String, RunnerState> runners = new HashMap<>();

	private final Map<String, ServiceState> services = new HashMap<>();

	private final PriorityQueue<Wake> wakes = new PriorityQueue<>(Comparator.comparingLong(Wake::nanos));

	private final Set<ServiceState> touched = new LinkedHashSet<>();

	private Map<String, Set<String>> digests = Map.of();

	private Set<String> leaving = Set.of();

	private long generation;

	private long firstNanos;

	private boolean begun;

	Runners(RequestPolicySettings settings, UniformRandomProvider random) {
		this.settings = settings;
		this.random = random;
		this.slowStart = new SlowStart(settings);
		this.outliers = new OutlierEjection(settings, random);
	}

	/**
	 * Returns a service that the head names or a runner serves.
	 */
	Optional<ServiceState> service(String name) {
		if (!this.digests.containsKey(name) && !this.services.containsKey(name)) {
			return Optional.empty();
		}
		return Optional.of(serviceOf(name));
	}

	/**
	 * Returns the services at which something happened since the last call, and forgets
	 * them.
	 */
	Optional<ServiceState> nextTouched() {
		Optional<ServiceState> next = this.touched.stream().findFirst();
		next.ifPresent(this.touched::remove);
		return next;
	}

	void touch(ServiceState service) {
		this.touched.add(service);
	}

	void forgetIdle(long nowNanos) {
		for (ServiceState service : this.services.values()) {
			service.queue.forgetIdle();
			service.arrivals.forgetIdle(nowNanos);
		}
	}

	void seen(RunnerView view, long nowNanos) {
		if (!this.begun) {
			this.begun = true;
			this.firstNanos = nowNanos;
		}
		RunnerState known = this.runners.get(view.runner());
		if (known != null && !known.view.service().equals(view.service())) {
			lost(view.runner(), nowNanos);
			known = null;
		}
		RunnerState runner = (known != null) ? known : new RunnerState(view);
		this.runners.put(view.runner(), runner);
		runner.view = view;
		runner.inFlightAtReport = runner.inFlight;
		ConcurrencyLimit.reported(runner, nowNanos);
		RunnerPool pool = poolOf(runner);
		view.prefixes().forEach((prefix) -> pool.notePrefix(prefix, runner));
		refresh(runner, nowNanos);
	}

	void lost(String name, long nowNanos) {
		RunnerState runner = this.runners.remove(name);
		if (runner != null) {
			runner.gone = true;
			refresh(runner, nowNanos);
		}
	}

	/**
	 * Takes over a head. An older one than known is late and says nothing.
	 */
	void head(RequestEvent.HeadSeen head, long nowNanos) {
		if (head.generation() < this.generation) {
			return;
		}
		this.generation = head.generation();
		this.digests = head.digests();
		this.runners.values().forEach((runner) -> refresh(runner, nowNanos));
	}

	void leaving(Set<String> vms, long nowNanos) {
		Set<String> changed = new HashSet<>(this.leaving);
		changed.addAll(vms);
		this.leaving = vms;
		for (String vm : changed) {
			Optional.ofNullable(this.runners.get(vm)).ifPresent((runner) -> refresh(runner, nowNanos));
		}
	}

	/**
	 * Learns from a whole answer, or from one that was cut off after this time.
	 */
	void answered(RunnerState runner, Flight flight, boolean whole, long nowNanos) {
		RunnerPool pool = poolOf(runner);
		double seconds = (nowNanos - flight.dispatchedNanos) / (double) Duration.ofSeconds(1).toNanos();
		double perCost = seconds / flight.request.cost();
		if (!whole && perCost <= pool.rate.median()) {
			return;
		}
		pool.rate.sample(perCost);
		ConcurrencyLimit.answered(runner, perCost, pool.rate.median(), nowNanos);
		if (whole) {
			// The slot of a call that ended is free for certain, however full the rest
			// is.
			runner.backoffUntilNanos = nowNanos;
			ConcurrencyLimit.ended(runner, pool, serviceOf(runner.view.service()).queue.activeWeight());
			pool.notePrefix(flight.request.prefix(), runner);
		}
		if (this.outliers.answered(runner, pool, perCost, nowNanos)) {
			this.slowStart.begin(runner, pool, nowNanos);
		}
		refresh(runner, nowNanos);
	}

	/**
	 * Learns from a gate that is full.
	 */
	void overCapacity(RunnerState runner, long retryAfterMillis, long nowNanos) {
		ConcurrencyLimit.refused(runner, poolOf(runner));
		backOff(runner, retryAfterMillis, nowNanos);
		refresh(runner, nowNanos);
	}

	/**
	 * Learns from a call that failed.
	 * @param blamed whether the runner or the way to it is to blame
	 */
	void failed(RunnerState runner, long retryAfterMillis, boolean blamed, long nowNanos) {
		backOff(runner, retryAfterMillis, nowNanos);
		if (blamed) {
			this.outliers.failed(runner, poolOf(runner), nowNanos);
		}
		refresh(runner, nowNanos);
	}

	/**
	 * Looks again at the runners whose time has come.
	 */
	void wake(long nowNanos) {
		while (!this.wakes.isEmpty() && this.wakes.peek().nanos() <= nowNanos) {
			Wake wake = this.wakes.poll();
			if (wake.nanos() == wake.runner().wakeNanos) {
				wake.runner().wakeNanos = Long.MAX_VALUE;
				refresh(wake.runner(), nowNanos);
			}
		}
	}

	/**
	 * Corrects the pool's lists for one runner, after anything that may have changed its
	 * state.
	 */
	void refresh(RunnerState runner, long nowNanos) {
		RunnerPool pool = poolOf(runner);
		boolean eligible = !runner.gone && Placement.eligible(runner.view, accepted(runner), this.leaving);
		boolean before = runner.eligibleIndex >= 0;
		pool.setEligible(runner, eligible);
		if (eligible && !before && nowNanos - this.firstNanos > START_NANOS) {
			this.slowStart.begin(runner, pool, nowNanos);
		}
		if (!eligible || this.slowStart.over(runner, nowNanos)) {
			this.slowStart.end(runner, pool);
		}
		if (!eligible) {
			this.outliers.forget(runner, pool);
		}
		int allowed = eligible ? allowed(runner, nowNanos) : 0;
		pool.countSlots(runner, allowed);
		pool.setFree(runner, runner.inFlight < allowed && nowNanos >= runner.backoffUntilNanos);
		this.touched.add(serviceOf(runner.view.service()));
		wakeLater(runner, eligible, nowNanos);
	}

	private int allowed(RunnerState runner, long nowNanos) {
		if (runner.ejected) {
			return this.outliers.probing(runner, nowNanos) ? 1 : 0;
		}
		int limit = (int) Math.max(1, Math.min(runner.limit, runner.view.capacity()));
		return this.slowStart.allowed(runner, limit, nowNanos);
	}

	private void backOff(RunnerState runner, long retryAfterMillis, long nowNanos) {
		double jitter = 0.5 + this.random.nextDouble();
		long asked = Duration.ofMillis(Math.min(retryAfterMillis, 1000)).toNanos();
		long nanos = (long) (Math.max(BACKOFF_NANOS, asked) * jitter);
		runner.backoffUntilNanos = Math.max(runner.backoffUntilNanos, nowNanos + nanos);
	}

	private void wakeLater(RunnerState runner, boolean eligible, long nowNanos) {
		if (!eligible) {
			return;
		}
		long at = Long.MAX_VALUE;
		if (runner.backoffUntilNanos > nowNanos) {
			at = runner.backoffUntilNanos;
		}
		if (runner.ejected && runner.ejectedUntilNanos > nowNanos) {
			at = Math.min(at, runner.ejectedUntilNanos);
		}
		if (runner.slowStartNanos != Long.MIN_VALUE) {
			at = Math.min(at, this.slowStart.nextStepNanos(nowNanos));
		}
		if (at < runner.wakeNanos) {
			runner.wakeNanos = at;
			this.wakes.add(new Wake(at, runner));
		}
	}

	private Set<String> accepted(RunnerState runner) {
		return this.digests.getOrDefault(runner.view.service(), Set.of());
	}

	private RunnerPool poolOf(RunnerState runner) {
		return serviceOf(runner.view.service()).pool;
	}

	private ServiceState serviceOf(String name) {
		return this.services.computeIfAbsent(name, (each) -> new ServiceState(this.settings));
	}

	private record Wake(long nanos, RunnerState runner) {
	}

}
