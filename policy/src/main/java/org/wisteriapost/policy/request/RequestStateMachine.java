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
 * State machine of request routing: returns the effects that the I/O layer must carry out
 * for each event. Confined to one thread.
 *
 * The I/O layer reports the end of each dispatch once, by
 * {@link RequestEvent.AnswerCompleted} or {@link RequestEvent.DispatchFailed}, and sends
 * a {@link RequestEvent.Tick} at least every 50 ms. The cost of an event does not depend
 * on the number of runners, except for a new head.
 *
 * The decisions are made by {@link AdmissionControl}, {@link LoadShedding},
 * {@link FairQueue}, {@link RunnerSelector}, {@link CallDispatcher},
 * {@link ConcurrencyLimit}, {@link SlowStart}, {@link OutlierEjection} and
 * {@link RetryBudget}.
 */
public final class RequestStateMachine {

	private static final Code NO_RUNNER = Code.refusal("no-runner", "No runner with accepted weights takes calls now.");

	private static final Code ENTRY_DRAINING = Code.refusal("entry-draining", "This entry takes no new work.");

	private static final Code ANSWER_CUT = Code.error("answer-cut", "A runner's answer ended before it was whole.");

	private static final Code DEADLINE_PASSED = Code.warning("deadline-passed",
			"The caller's deadline passed while the request ran.");

	private static final long NO_RUNNER_RETRY_MILLIS = 1000;

	/**
	 * Short, because another entry can take the request at once; jitter spreads the
	 * retries.
	 */
	private static final long DRAIN_RETRY_MILLIS = 100;

	private static final long DEFAULT_SEED = 1;

	private final RequestPolicySettings settings;

	private final UniformRandomProvider random;

	private final Invariants invariants;

	private final PendingRequests pendingRequests;

	private final RunnerRegistry runners;

	private final CallDispatcher dispatcher;

	private final RunnerSelector selector;

	private final RetryBudget retryBudget;

	private final PriorityQueue<DelayedRetry> delayedRetries = new PriorityQueue<>(
			Comparator.comparingLong(DelayedRetry::dueNanos));

	private boolean draining;

	private RequestStateMachine(RequestPolicySettings settings, long seed, Invariants invariants) {
		this.settings = settings;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.invariants = invariants;
		this.pendingRequests = new PendingRequests(invariants);
		this.runners = new RunnerRegistry(settings, this.random);
		this.dispatcher = new CallDispatcher(invariants);
		this.selector = new RunnerSelector(settings, this.random);
		this.retryBudget = new RetryBudget(settings, this.random);
	}

	/**
	 * Returns a machine with default settings and no runners.
	 */
	public static RequestStateMachine create() {
		return create(RequestPolicySettings.defaults(), DEFAULT_SEED);
	}

	/**
	 * Returns a machine without runners.
	 * @param seed of the random generator; differs between entries, so that entries with
	 * the same reports do not select the same runners
	 */
	public static RequestStateMachine create(RequestPolicySettings settings, long seed) {
		return create(settings, seed, Invariants.create());
	}

	/**
	 * Returns a machine that records violations with the given invariants.
	 */
	public static RequestStateMachine create(RequestPolicySettings settings, long seed, Invariants invariants) {
		return new RequestStateMachine(settings, seed, invariants);
	}

	/**
	 * Returns the number of violations by invariant; empty when all held.
	 */
	public Map<String, Long> violations() {
		return this.invariants.violations();
	}

	/**
	 * Returns the number of requests without a final answer.
	 */
	public int pendingCount() {
		return this.pendingRequests.size();
	}

	/**
	 * Applies one event.
	 * @param nowNanos the monotonic clock
	 */
	public List<RequestEffect> apply(RequestEvent event, long nowNanos) {
		List<RequestEffect> effects = new ArrayList<>(2);
		this.runners.refreshDue(nowNanos);
		switch (event) {
			case RequestEvent.Arrived arrived -> onArrival(arrived.request(), nowNanos, effects);
			case RequestEvent.Claimed claimed -> onClaimed(claimed.id(), nowNanos, effects);
			case RequestEvent.ClaimFailed lost -> onClaimFailed(lost.id(), nowNanos);
			case RequestEvent.AnswerStarted started -> onAnswerStarted(started.id());
			case RequestEvent.AnswerCompleted ended -> onCompletion(ended.id(), nowNanos);
			case RequestEvent.DispatchFailed failed -> onFailure(failed, nowNanos, effects);
			case RequestEvent.CallerDisconnected gone -> onCallerDisconnected(gone.id(), nowNanos, effects);
			case RequestEvent.RunnerReported report -> this.runners.onReport(report.status(), nowNanos);
			case RequestEvent.RunnerDisconnected lost -> this.runners.onDisconnect(lost.runner(), nowNanos);
			case RequestEvent.HeadRead head -> this.runners.onHeadUpdate(head, nowNanos);
			case RequestEvent.LeavingVmsRead leaving -> this.runners.onLeavingVms(leaving.vms(), nowNanos);
			case RequestEvent.Drain drain -> this.draining = true;
			case RequestEvent.Tick tick -> this.runners.evictIdle(nowNanos);
		}
		expireDue(nowNanos, effects);
		requeueDueRetries(nowNanos);
		dispatchWaiting(nowNanos, effects);
		return effects;
	}

	private void onArrival(Request request, long nowNanos, List<RequestEffect> effects) {
		Optional<PendingRequest> added = this.pendingRequests.add(request);
		if (added.isEmpty()) {
			return;
		}
		PendingRequest pending = added.get();
		if (this.draining) {
			this.pendingRequests.answerFailed(pending, ENTRY_DRAINING.name(), jittered(DRAIN_RETRY_MILLIS), effects);
			return;
		}
		Optional<ServiceState> service = this.runners.service(request.service());
		if (service.isEmpty() || service.get().pool.eligible().isEmpty()) {
			this.pendingRequests.answerFailed(pending, NO_RUNNER.name(), jittered(NO_RUNNER_RETRY_MILLIS), effects);
			return;
		}
		admit(pending, service.get(), nowNanos, effects);
	}

	private void admit(PendingRequest pending, ServiceState service, long nowNanos, List<RequestEffect> effects) {
		Request request = pending.request;
		double jitter = this.random.nextDouble();
		Optional<Long> retryAfter = AdmissionControl.retryAfterIfLate(request, service, jitter, nowNanos);
		if (retryAfter.isPresent()) {
			this.pendingRequests.answerFailed(pending, AdmissionControl.DEADLINE_UNREACHABLE.name(), retryAfter.get(),
					effects);
			return;
		}
		Optional<Code> refusal = LoadShedding.refuse(request, service.queue, this.settings);
		if (refusal.isPresent()) {
			long retry = AdmissionControl.backlogDrainMillis(request, service, jitter, nowNanos);
			this.pendingRequests.answerFailed(pending, refusal.get().name(), retry, effects);
			return;
		}
		LoadShedding.victim(request, service.queue, this.settings)
			.ifPresent((victim) -> shed(victim, service, jitter, nowNanos, effects));
		service.recordAdmitted(request, nowNanos);
		service.queue.enqueue(pending);
		this.runners.markChanged(service);
	}

	private void shed(PendingRequest victim, ServiceState service, double jitter, long nowNanos,
			List<RequestEffect> effects) {
		service.queue.remove(victim);
		long retry = AdmissionControl.backlogDrainMillis(victim.request, service, jitter, nowNanos);
		this.pendingRequests.answerFailed(victim, LoadShedding.SHED.name(), retry, effects);
	}

	private void onClaimed(long id, long nowNanos, List<RequestEffect> effects) {
		PendingRequest pending = findInStage(id, PendingRequest.Stage.CLAIMING).orElse(null);
		if (pending == null) {
			return;
		}
		pending.claimed = true;
		ServiceState service = serviceOf(pending);
		if (pending.runner.eligibleIndex >= 0 && !pending.runner.ejected) {
			send(pending, nowNanos, effects);
			return;
		}
		// The runner became ineligible or was ejected during the claim.
		release(pending, nowNanos);
		requeue(pending, service);
	}

	private void onClaimFailed(long id, long nowNanos) {
		findInStage(id, PendingRequest.Stage.CLAIMING).ifPresent((pending) -> {
			release(pending, nowNanos);
			this.pendingRequests.remove(pending);
		});
	}

	private void onAnswerStarted(long id) {
		findInStage(id, PendingRequest.Stage.DISPATCHED).ifPresent((pending) -> pending.answerStarted = true);
	}

	private void onCompletion(long id, long nowNanos) {
		findInStage(id, PendingRequest.Stage.DISPATCHED).ifPresent((pending) -> {
			RunnerState runner = release(pending, nowNanos);
			this.runners.onAnswer(runner, pending, true, nowNanos);
			this.pendingRequests.remove(pending);
		});
	}

	private void onFailure(RequestEvent.DispatchFailed failed, long nowNanos, List<RequestEffect> effects) {
		PendingRequest pending = findInStage(failed.id(), PendingRequest.Stage.DISPATCHED)
			.filter((candidate) -> candidate.runner.name.equals(failed.runner()))
			.orElse(null);
		if (pending == null) {
			return;
		}
		RunnerState runner = release(pending, nowNanos);
		// A request whose answer has started has run, whatever the runner reports.
		boolean notRun = failed.notRun() && !pending.answerStarted;
		this.invariants.holds(notRun || !failed.notRun(), "not-run-after-start", "request " + pending.id());
		if (notRun) {
			pending.possibleRuns--;
		}
		if (notRun && GateCodes.isFull(failed.code())) {
			requeueAfterFullGate(pending, runner, failed, nowNanos);
			return;
		}
		if (notRun && GateCodes.isRefusedByRunner(failed.code())) {
			this.runners.restStated(runner, failed.retryAfterMillis(), nowNanos);
		}
		boolean beforeDeadline = pending.request.deadlineNanos() > nowNanos;
		boolean countsAgainstRunner = beforeDeadline && !(notRun && GateCodes.isHealthNeutral(failed.code()));
		this.runners.onFailure(runner, failed.retryAfterMillis(), countsAgainstRunner, nowNanos);
		retry(pending, failed, notRun, nowNanos, effects);
	}

	/**
	 * Requeues a request that a full gate refused at the front of its lane. Such a
	 * refusal is no failure of the runner and no attempt of the request; the runner's
	 * backoff limits the rate of further attempts.
	 */
	private void requeueAfterFullGate(PendingRequest pending, RunnerState runner, RequestEvent.DispatchFailed failed,
			long nowNanos) {
		this.runners.onGateFull(runner, failed.retryAfterMillis(), nowNanos);
		pending.dispatches--;
		requeue(pending, serviceOf(pending));
	}

	/**
	 * Schedules a retry, or answers at once so that the caller can still retry before its
	 * own deadline.
	 */
	private void retry(PendingRequest pending, RequestEvent.DispatchFailed failed, boolean notRun, long nowNanos,
			List<RequestEffect> effects) {
		long backoff = this.retryBudget.backoffNanos(pending);
		ServiceState service = serviceOf(pending);
		if (AdmissionControl.canMeetDeadline(pending.request, service.pool, nowNanos + backoff)
				&& this.retryBudget.tryAcquire(pending)) {
			pending.stage = PendingRequest.Stage.DELAYED;
			this.delayedRetries.add(new DelayedRetry(nowNanos + backoff, pending));
			return;
		}
		String code = notRun ? failed.code() : ANSWER_CUT.name();
		long retry = Math.max(failed.retryAfterMillis(), backlogDrainMillis(pending, service, nowNanos));
		this.pendingRequests.answerFailed(pending, code, retry, effects);
	}

	private void onCallerDisconnected(long id, long nowNanos, List<RequestEffect> effects) {
		this.pendingRequests.get(id).ifPresent((pending) -> {
			withdraw(pending, nowNanos, effects);
			this.pendingRequests.remove(pending);
		});
	}

	private void expireDue(long nowNanos, List<RequestEffect> effects) {
		Optional<PendingRequest> due = this.pendingRequests.firstExpired(nowNanos);
		while (due.isPresent()) {
			PendingRequest pending = due.get();
			ServiceState service = serviceOf(pending);
			withdraw(pending, nowNanos, effects);
			Code code = pending.mayHaveRun() ? DEADLINE_PASSED : AdmissionControl.DEADLINE_UNREACHABLE;
			long retry = backlogDrainMillis(pending, service, nowNanos);
			this.pendingRequests.answerFailed(pending, code.name(), retry, effects);
			due = this.pendingRequests.firstExpired(nowNanos);
		}
	}

	/**
	 * Removes a request from its current stage and cancels its work at the runner.
	 */
	private void withdraw(PendingRequest pending, long nowNanos, List<RequestEffect> effects) {
		switch (pending.stage) {
			case QUEUED -> serviceOf(pending).queue.remove(pending);
			case DELAYED -> this.delayedRetries.removeIf((candidate) -> candidate.pending() == pending);
			case CLAIMING -> release(pending, nowNanos);
			case DISPATCHED -> {
				RunnerState runner = release(pending, nowNanos);
				effects.add(new RequestEffect.Cancel(pending.id(), runner.name));
				this.runners.onAnswer(runner, pending, false, nowNanos);
			}
		}
	}

	private void requeueDueRetries(long nowNanos) {
		while (!this.delayedRetries.isEmpty() && this.delayedRetries.peek().dueNanos() <= nowNanos) {
			PendingRequest pending = this.delayedRetries.poll().pending();
			requeue(pending, serviceOf(pending));
		}
	}

	private void dispatchWaiting(long nowNanos, List<RequestEffect> effects) {
		Optional<ServiceState> next = this.runners.nextChanged();
		while (next.isPresent()) {
			dispatchWaiting(next.get(), nowNanos, effects);
			next = this.runners.nextChanged();
		}
	}

	private void dispatchWaiting(ServiceState service, long nowNanos, List<RequestEffect> effects) {
		if (service.pool.eligible().isEmpty()) {
			refuseAll(service, effects);
			return;
		}
		while (!service.pool.free().isEmpty()) {
			PendingRequest pending = service.queue.poll(service.longRequestAllowed(nowNanos)).orElse(null);
			if (pending == null) {
				return;
			}
			if (!dispatchOne(pending, service, nowNanos, effects)) {
				return;
			}
		}
	}

	private void refuseAll(ServiceState service, List<RequestEffect> effects) {
		for (PendingRequest pending : service.queue.waiting()) {
			service.queue.remove(pending);
			this.pendingRequests.answerFailed(pending, NO_RUNNER.name(), jittered(NO_RUNNER_RETRY_MILLIS), effects);
		}
	}

	/**
	 * Dispatches one request, or answers it if its deadline can no longer be met.
	 * @return false when no runner may take it now
	 */
	private boolean dispatchOne(PendingRequest pending, ServiceState service, long nowNanos,
			List<RequestEffect> effects) {
		if (!AdmissionControl.canMeetDeadline(pending.request, service.pool, nowNanos)) {
			long retry = backlogDrainMillis(pending, service, nowNanos);
			this.pendingRequests.answerFailed(pending, AdmissionControl.DEADLINE_UNREACHABLE.name(), retry, effects);
			return true;
		}
		Optional<RunnerState> runner = this.selector.select(service.pool, pending);
		if (runner.isEmpty()) {
			service.queue.requeueFirst(pending);
			return false;
		}
		this.dispatcher.reserve(pending, runner.get(), service);
		this.runners.refresh(runner.get(), nowNanos);
		send(pending, nowNanos, effects);
		return true;
	}

	private void send(PendingRequest pending, long nowNanos, List<RequestEffect> effects) {
		if (!this.dispatcher.send(pending, nowNanos, effects)) {
			release(pending, nowNanos);
			this.pendingRequests.answerFailed(pending, ANSWER_CUT.name(), NO_RUNNER_RETRY_MILLIS, effects);
			return;
		}
		if (pending.stage == PendingRequest.Stage.DISPATCHED && pending.dispatches == 1) {
			this.retryBudget.recordFirstDispatch();
		}
	}

	private void requeue(PendingRequest pending, ServiceState service) {
		pending.stage = PendingRequest.Stage.QUEUED;
		service.queue.requeueFirst(pending);
		this.runners.markChanged(service);
	}

	private RunnerState release(PendingRequest pending, long nowNanos) {
		RunnerState runner = this.dispatcher.release(pending, serviceOf(pending));
		this.runners.refresh(runner, nowNanos);
		return runner;
	}

	private Optional<PendingRequest> findInStage(long id, PendingRequest.Stage stage) {
		return this.pendingRequests.get(id).filter((pending) -> pending.stage == stage);
	}

	private ServiceState serviceOf(PendingRequest pending) {
		return this.runners.service(pending.request.service()).orElseThrow();
	}

	private long backlogDrainMillis(PendingRequest pending, ServiceState service, long nowNanos) {
		return AdmissionControl.backlogDrainMillis(pending.request, service, this.random.nextDouble(), nowNanos);
	}

	private long jittered(long millis) {
		return (long) (millis * (1 + this.random.nextDouble() / 4));
	}

	private record DelayedRetry(long dueNanos, PendingRequest pending) {
	}

}
