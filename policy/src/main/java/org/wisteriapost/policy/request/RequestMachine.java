package org.wisteriapost.policy.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;

/**
 * Returns for each event the effects that the I/O layer must carry out. Used by one
 * thread.
 *
 * The I/O layer reports the end of each dispatch once, by {@link RequestEvent.Ended} or
 * {@link RequestEvent.Failed}, and sends a {@link RequestEvent.Tick} at least every 50
 * ms. Work for an event does not grow with the number of runners, but for a new head.
 *
 * The decisions are in classes of their own: {@link Admission}, {@link Shedding},
 * {@link FairQueue}, {@link Placement}, {@link Dispatch}, {@link ConcurrencyLimit},
 * {@link SlowStart}, {@link OutlierEjection} and {@link RetryBudget}.
 */
public final class RequestMachine {

	private static final Code NO_RUNNER = Code.refusal("no-runner", "No runner with accepted weights takes calls now.");

	private static final Code ENTRY_DRAINING = Code.refusal("entry-draining", "This entry takes no new work.");

	private static final Code ANSWER_CUT = Code.error("answer-cut", "A runner's answer ended before it was whole.");

	private static final Code DEADLINE_PASSED = Code.warning("deadline-passed",
			"The caller's deadline passed while the request ran.");

	private static final long RETRY_MILLIS = 1000;

	/** Another entry may be asked at once; the time lets the refused spread out. */
	private static final long DRAIN_RETRY_MILLIS = 100;

	private static final long DEFAULT_SEED = 1;

	private final RequestPolicySettings settings;

	private final UniformRandomProvider random;

	private final Invariants invariants;

	private final Flights flights;

	private final Runners runners;

	private final Dispatch dispatch;

	private final Placement placement;

	private final RetryBudget retries;

	private final PriorityQueue<Delayed> delayed = new PriorityQueue<>(Comparator.comparingLong(Delayed::nanos));

	private boolean draining;

	private RequestMachine(RequestPolicySettings settings, long seed, Invariants invariants) {
		this.settings = settings;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.invariants = invariants;
		this.flights = new Flights(invariants);
		this.runners = new Runners(settings, this.random);
		this.dispatch = new Dispatch(invariants);
		this.placement = new Placement(settings, this.random);
		this.retries = new RetryBudget(settings, this.random);
	}

	/**
	 * Returns a machine with default limits that knows nothing yet.
	 */
	public static RequestMachine create() {
		return create(RequestPolicySettings.defaults(), DEFAULT_SEED);
	}

	/**
	 * Returns a machine that knows nothing yet.
	 * @param seed of the generator; another for each entry, so that entries with the same
	 * reports do not choose alike
	 */
	public static RequestMachine create(RequestPolicySettings settings, long seed) {
		return create(settings, seed, Invariants.create());
	}

	/**
	 * Returns a machine that counts violations with the given invariants.
	 */
	public static RequestMachine create(RequestPolicySettings settings, long seed, Invariants invariants) {
		return new RequestMachine(settings, seed, invariants);
	}

	/**
	 * Returns the violations by invariant; empty when all held.
	 */
	public Map<String, Long> violations() {
		return this.invariants.violations();
	}

	/**
	 * Returns how many requests have no final answer yet.
	 */
	public int open() {
		return this.flights.size();
	}

	/**
	 * Applies one event.
	 * @param nowNanos the monotonic clock
	 */
	public List<RequestEffect> apply(RequestEvent event, long nowNanos) {
		List<RequestEffect> effects = new ArrayList<>(2);
		this.runners.wake(nowNanos);
		switch (event) {
			case RequestEvent.Arrived arrived -> arrive(arrived.request(), nowNanos, effects);
			case RequestEvent.Claimed claimed -> claimed(claimed.id(), nowNanos, effects);
			case RequestEvent.ClaimLost lost -> claimLost(lost.id(), nowNanos);
			case RequestEvent.Started started -> start(started.id());
			case RequestEvent.Ended ended -> end(ended.id(), nowNanos);
			case RequestEvent.Failed failed -> fail(failed, nowNanos, effects);
			case RequestEvent.CallerGone gone -> callerGone(gone.id(), nowNanos, effects);
			case RequestEvent.RunnerSeen seen -> this.runners.seen(seen.view(), nowNanos);
			case RequestEvent.RunnerLost lost -> this.runners.lost(lost.runner(), nowNanos);
			case RequestEvent.HeadSeen head -> this.runners.head(head, nowNanos);
			case RequestEvent.LeavingSeen leaving -> this.runners.leaving(leaving.vms(), nowNanos);
			case RequestEvent.Drain drain -> this.draining = true;
			case RequestEvent.Tick tick -> this.runners.forgetIdle(nowNanos);
		}
		expire(nowNanos, effects);
		resume(nowNanos);
		pump(nowNanos, effects);
		return effects;
	}

	private void arrive(Request request, long nowNanos, List<RequestEffect> effects) {
		Optional<Flight> added = this.flights.add(request);
		if (added.isEmpty()) {
			return;
		}
		Flight flight = added.get();
		if (this.draining) {
			this.flights.answer(flight, ENTRY_DRAINING.name(), jittered(DRAIN_RETRY_MILLIS), effects);
			return;
		}
		Optional<ServiceState> service = this.runners.service(request.service());
		if (service.isEmpty() || service.get().pool.eligible().isEmpty()) {
			this.flights.answer(flight, NO_RUNNER.name(), jittered(RETRY_MILLIS), effects);
			return;
		}
		admit(flight, service.get(), nowNanos, effects);
	}

	private void admit(Flight flight, ServiceState service, long nowNanos, List<RequestEffect> effects) {
		Request request = flight.request;
		double jitter = this.random.nextDouble();
		Optional<Long> late = Admission.refuse(request, service, jitter, nowNanos);
		if (late.isPresent()) {
			this.flights.answer(flight, Admission.DEADLINE_UNREACHABLE.name(), late.get(), effects);
			return;
		}
		Optional<Code> full = Shedding.refuse(request, service.queue, this.settings);
		if (full.isPresent()) {
			long retry = Admission.drainMillis(request, service, jitter, nowNanos);
			this.flights.answer(flight, full.get().name(), retry, effects);
			return;
		}
		Shedding.victim(request, service.queue, this.settings)
			.ifPresent((victim) -> shed(victim, service, jitter, nowNanos, effects));
		service.admitted(request, nowNanos);
		service.queue.offer(flight);
		this.runners.touch(service);
	}

	private void shed(Flight victim, ServiceState service, double jitter, long nowNanos, List<RequestEffect> effects) {
		service.queue.remove(victim);
		long retry = Admission.drainMillis(victim.request, service, jitter, nowNanos);
		this.flights.answer(victim, Shedding.SHED.name(), retry, effects);
	}

	private void claimed(long id, long nowNanos, List<RequestEffect> effects) {
		Flight flight = in(id, Flight.Stage.CLAIMING).orElse(null);
		if (flight == null) {
			return;
		}
		flight.claimed = true;
		ServiceState service = serviceOf(flight);
		if (flight.runner.eligibleIndex >= 0 && !flight.runner.ejected) {
			send(flight, nowNanos, effects);
			return;
		}
		// The runner went away or was ejected during the claim: any other may have it.
		release(flight, nowNanos);
		requeue(flight, service);
	}

	private void claimLost(long id, long nowNanos) {
		in(id, Flight.Stage.CLAIMING).ifPresent((flight) -> {
			release(flight, nowNanos);
			this.flights.remove(flight);
		});
	}

	private void start(long id) {
		in(id, Flight.Stage.DISPATCHED).ifPresent((flight) -> flight.started = true);
	}

	private void end(long id, long nowNanos) {
		in(id, Flight.Stage.DISPATCHED).ifPresent((flight) -> {
			RunnerState runner = release(flight, nowNanos);
			this.runners.answered(runner, flight, true, nowNanos);
			this.flights.remove(flight);
		});
	}

	private void fail(RequestEvent.Failed failed, long nowNanos, List<RequestEffect> effects) {
		Flight flight = in(failed.id(), Flight.Stage.DISPATCHED)
			.filter((each) -> each.runner.name.equals(failed.runner()))
			.orElse(null);
		if (flight == null) {
			return;
		}
		RunnerState runner = release(flight, nowNanos);
		// An answer that has begun has run, whatever else is said of it.
		boolean notRun = failed.notRun() && !flight.started;
		this.invariants.holds(notRun || !failed.notRun(), "not-run-after-start", "request " + flight.id());
		if (notRun) {
			flight.uncertain--;
		}
		if (notRun && GateCodes.full(failed.code())) {
			bounced(flight, runner, failed, nowNanos);
			return;
		}
		boolean inTime = flight.request.deadlineNanos() > nowNanos;
		boolean blamed = inTime && !(notRun && GateCodes.well(failed.code()));
		this.runners.failed(runner, failed.retryAfterMillis(), blamed, nowNanos);
		retry(flight, failed, notRun, nowNanos, effects);
	}

	/**
	 * A full gate cost the runner nothing and says nothing against it. The request waits
	 * on at the head of its lane, and the runner's backoff keeps the pace.
	 */
	private void bounced(Flight flight, RunnerState runner, RequestEvent.Failed failed, long nowNanos) {
		this.runners.overCapacity(runner, failed.retryAfterMillis(), nowNanos);
		flight.dispatches--;
		requeue(flight, serviceOf(flight));
	}

	/**
	 * Tries elsewhere or answers now: a caller that is told at once can still come back
	 * before its own deadline.
	 */
	private void retry(Flight flight, RequestEvent.Failed failed, boolean notRun, long nowNanos,
			List<RequestEffect> effects) {
		long wait = this.retries.waitNanos(flight);
		ServiceState service = serviceOf(flight);
		if (Admission.inTime(flight.request, service.pool, nowNanos + wait) && this.retries.take(flight)) {
			flight.stage = Flight.Stage.DELAYED;
			this.delayed.add(new Delayed(nowNanos + wait, flight));
			return;
		}
		String code = notRun ? failed.code() : ANSWER_CUT.name();
		long retry = Math.max(failed.retryAfterMillis(), drainMillis(flight, service, nowNanos));
		this.flights.answer(flight, code, retry, effects);
	}

	private void callerGone(long id, long nowNanos, List<RequestEffect> effects) {
		this.flights.get(id).ifPresent((flight) -> {
			withdraw(flight, nowNanos, effects);
			this.flights.remove(flight);
		});
	}

	private void expire(long nowNanos, List<RequestEffect> effects) {
		Optional<Flight> due = this.flights.expired(nowNanos);
		while (due.isPresent()) {
			Flight flight = due.get();
			ServiceState service = serviceOf(flight);
			withdraw(flight, nowNanos, effects);
			Code code = flight.mayHaveRun() ? DEADLINE_PASSED : Admission.DEADLINE_UNREACHABLE;
			long retry = drainMillis(flight, service, nowNanos);
			this.flights.answer(flight, code.name(), retry, effects);
			due = this.flights.expired(nowNanos);
		}
	}

	/**
	 * Takes a request out of wherever it stands, cancelling its work.
	 */
	private void withdraw(Flight flight, long nowNanos, List<RequestEffect> effects) {
		switch (flight.stage) {
			case QUEUED -> serviceOf(flight).queue.remove(flight);
			case DELAYED -> this.delayed.removeIf((each) -> each.flight() == flight);
			case CLAIMING -> release(flight, nowNanos);
			case DISPATCHED -> {
				RunnerState runner = release(flight, nowNanos);
				effects.add(new RequestEffect.Cancel(flight.id(), runner.name));
				this.runners.answered(runner, flight, false, nowNanos);
			}
		}
	}

	private void resume(long nowNanos) {
		while (!this.delayed.isEmpty() && this.delayed.peek().nanos() <= nowNanos) {
			Flight flight = this.delayed.poll().flight();
			requeue(flight, serviceOf(flight));
		}
	}

	private void pump(long nowNanos, List<RequestEffect> effects) {
		Optional<ServiceState> next = this.runners.nextTouched();
		while (next.isPresent()) {
			pump(next.get(), nowNanos, effects);
			next = this.runners.nextTouched();
		}
	}

	private void pump(ServiceState service, long nowNanos, List<RequestEffect> effects) {
		if (service.pool.eligible().isEmpty()) {
			refuseAll(service, effects);
			return;
		}
		while (!service.pool.free().isEmpty()) {
			Flight flight = service.queue.poll(service.longAllowed(nowNanos)).orElse(null);
			if (flight == null) {
				return;
			}
			if (!place(flight, service, nowNanos, effects)) {
				return;
			}
		}
	}

	private void refuseAll(ServiceState service, List<RequestEffect> effects) {
		for (Flight flight : service.queue.all()) {
			service.queue.remove(flight);
			this.flights.answer(flight, NO_RUNNER.name(), jittered(RETRY_MILLIS), effects);
		}
	}

	/**
	 * Sends one request on, or answers it when it is too late for it.
	 * @return false when no runner may take it now
	 */
	private boolean place(Flight flight, ServiceState service, long nowNanos, List<RequestEffect> effects) {
		if (!Admission.inTime(flight.request, service.pool, nowNanos)) {
			long retry = drainMillis(flight, service, nowNanos);
			this.flights.answer(flight, Admission.DEADLINE_UNREACHABLE.name(), retry, effects);
			return true;
		}
		Optional<RunnerState> runner = this.placement.choose(service.pool, flight);
		if (runner.isEmpty()) {
			service.queue.putBack(flight);
			return false;
		}
		this.dispatch.reserve(flight, runner.get(), service);
		this.runners.refresh(runner.get(), nowNanos);
		send(flight, nowNanos, effects);
		return true;
	}

	private void send(Flight flight, long nowNanos, List<RequestEffect> effects) {
		if (!this.dispatch.send(flight, nowNanos, effects)) {
			release(flight, nowNanos);
			this.flights.answer(flight, ANSWER_CUT.name(), RETRY_MILLIS, effects);
			return;
		}
		if (flight.stage == Flight.Stage.DISPATCHED && flight.dispatches == 1) {
			this.retries.dispatched();
		}
	}

	private void requeue(Flight flight, ServiceState service) {
		flight.stage = Flight.Stage.QUEUED;
		service.queue.putBack(flight);
		this.runners.touch(service);
	}

	private RunnerState release(Flight flight, long nowNanos) {
		RunnerState runner = this.dispatch.release(flight, serviceOf(flight));
		this.runners.refresh(runner, nowNanos);
		return runner;
	}

	private Optional<Flight> in(long id, Flight.Stage stage) {
		return this.flights.get(id).filter((flight) -> flight.stage == stage);
	}

	private ServiceState serviceOf(Flight flight) {
		return this.runners.service(flight.request.service()).orElseThrow();
	}

	private long drainMillis(Flight flight, ServiceState service, long nowNanos) {
		return Admission.drainMillis(flight.request, service, this.random.nextDouble(), nowNanos);
	}

	private long jittered(long millis) {
		return (long) (millis * (1 + this.random.nextDouble() / 4));
	}

	private record Delayed(long nanos, Flight flight) {
	}

}
