package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.TargetWeights;
import org.wisteriapost.policy.quarantine.RequestQuarantine;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * Applies events to the requests in progress, one at a time, and emits the resulting
 * {@link DispatchEffect}s.
 *
 * {@link Placement} chooses the runner, {@link AdmissionPolicy} decides how long to wait
 * for one, {@link RetryPolicy} decides how to continue when a runner failed, and
 * {@link HedgePolicy} whether to try a second runner while the first one is silent.
 */
public final class Dispatcher {

	private final EngineSpecs engineSpecs = new EngineSpecs();

	private final RunnerRegistry registry;

	private final PoisonGuard poisonGuard = new PoisonGuard();

	private final EvacuatedRunners evacuated;

	private final PeerLoads peerLoads;

	private final RateLimits rateLimits;

	private final RunnerDepartures departures;

	private final RunnerPaths paths;

	private final FleetView fleetView;

	private final WeightsFence weightsFence;

	private final FirstEventLatencies latencies;

	private final Placement placement;

	private final Contention contention = new Contention();

	private final AdmissionPolicy admission;

	private final RetryPolicy retryPolicy;

	private final FinalResponses responses;

	private final OpenDispatches dispatches;

	private final HedgePolicy hedges;

	private final Map<Long, Job> jobs = new LinkedHashMap<>();

	private final WaitingRequests waiting = new WaitingRequests();

	private final RetryBudgets retryBudgets;

	private List<DispatchEffect> pendingEffects = new ArrayList<>();

	private Dispatcher(DispatchLimits limits, UniformRandomProvider random) {
		this.registry = new RunnerRegistry(new RunnerSubset(limits.failureDomain(), random.nextLong()));
		this.peerLoads = new PeerLoads(this.registry);
		this.rateLimits = new RateLimits(this.registry, limits, this.engineSpecs, random);
		this.evacuated = new EvacuatedRunners(this.registry, this.rateLimits.coldRunners(), this::placeWaiting);
		this.departures = new RunnerDepartures(this.registry);
		this.fleetView = new FleetView(this.registry, limits.failureDomain());
		this.weightsFence = new WeightsFence(limits.weightsActivationDelay());
		ServiceLatencyFactors factors = new ServiceLatencyFactors();
		this.latencies = new FirstEventLatencies(factors);
		this.placement = new Placement(this.registry, factors, this.weightsFence, this.rateLimits, this.evacuated,
				limits, random);
		this.paths = new RunnerPaths(this.registry, this.placement, this.engineSpecs::of);
		this.retryBudgets = new RetryBudgets(limits);
		this.admission = new AdmissionPolicy(this.contention, this.evacuated, limits.finalRefusals(), random);
		this.retryPolicy = new RetryPolicy();
		this.responses = new FinalResponses(this.admission, (effect) -> this.pendingEffects.add(effect));
		this.dispatches = new OpenDispatches(this.placement, this.admission, this.retryPolicy, this.poisonGuard,
				this.latencies, (effect) -> this.pendingEffects.add(effect));
		this.hedges = new HedgePolicy(this.placement, this.admission, this.poisonGuard, this.retryPolicy,
				this.retryBudgets);
	}

	/**
	 * Creates a dispatcher without requests or runners.
	 */
	public static Dispatcher create(DispatchLimits limits, UniformRandomProvider random) {
		return new Dispatcher(limits, random);
	}

	/**
	 * Returns the effects since the previous call, in order.
	 */
	public List<DispatchEffect> drainEffects() {
		List<DispatchEffect> drained = this.pendingEffects;
		this.pendingEffects = new ArrayList<>();
		return drained;
	}

	/**
	 * Returns the number of requests in progress.
	 */
	public int inProgress() {
		return this.jobs.size();
	}

	/**
	 * Replaces the route table.
	 */
	public void updateRouteTable(RouteTable table) {
		this.engineSpecs.update(table);
	}

	/**
	 * Records a target weights version.
	 * @param foundAtStartup whether it was present when this entry first read the store
	 */
	public void targetWeightsPublished(TargetWeights weights, boolean foundAtStartup, long nowNanos) {
		this.weightsFence.addTarget(weights, foundAtStartup, nowNanos);
	}

	/**
	 * Replaces the set of registered runners.
	 */
	public void replaceRunners(Collection<RunnerInfo> all, long nowNanos) {
		this.registry.replaceAll(all, nowNanos);
		placeWaiting(nowNanos);
	}

	/**
	 * Adds or updates a runner and returns whether the registration contains anything
	 * new.
	 */
	public boolean updateRunner(RunnerInfo info, long nowNanos) {
		boolean changed = this.registry.update(info, nowNanos);
		if (changed) {
			placeWaiting(nowNanos);
		}
		return changed;
	}

	/**
	 * Updates the status of an engine, as reported by the agent on its VM.
	 * @param address the runner's address
	 */
	public void updateEngineStatus(String address, EngineStatus status, long nowNanos) {
		this.registry.updateEngineStatus(address, status, nowNanos);
		placeWaiting(nowNanos);
	}

	/**
	 * Records a request that a peer has refused.
	 */
	public void recordPeerRefusal(RefusedRequest request) {
		this.admission.recordRefusal(request);
	}

	/**
	 * Returns which runners are leaving or gone.
	 */
	public RunnerDepartures departures() {
		return this.departures;
	}

	/**
	 * Returns the runners in evacuated failure domains.
	 */
	public EvacuatedRunners evacuated() {
		return this.evacuated;
	}

	/**
	 * Returns the network paths to the runners.
	 */
	public RunnerPaths runnerPaths() {
		return this.paths;
	}

	/**
	 * Returns the load that other entries report.
	 */
	public PeerLoads peerLoads() {
		return this.peerLoads;
	}

	/**
	 * Returns where requests that could be in time find no free slot.
	 */
	public Contention contention() {
		return this.contention;
	}

	/**
	 * Returns the limits that runners name for their rate.
	 */
	public RateLimits rateLimits() {
		return this.rateLimits;
	}

	/**
	 * Returns the quarantine of poison requests.
	 */
	public RequestQuarantine quarantine() {
		return this.poisonGuard.quarantine();
	}

	/**
	 * Updates the number of entries.
	 */
	public void updateEntryCount(EntryCount count) {
		this.retryBudgets.updateEntryCount(count.total());
		this.placement.updateEntryCount(count);
		this.admission.updateEntryCount(count);
	}

	/**
	 * Returns the local view of the runners.
	 */
	public FleetView fleetView() {
		return this.fleetView;
	}

	/**
	 * Adds a request that has arrived.
	 */
	public void requestArrived(Job job, long nowNanos) {
		this.jobs.put(job.id(), job);
		this.admission.arrived(job, nowNanos);
		this.rateLimits.requestArrived(job, nowNanos);
		place(job, nowNanos);
	}

	/**
	 * Records that the connection for a request was established; the request is now sent
	 * over it.
	 */
	public void connectionEstablished(Job job, int dispatch, long nowNanos) {
		job.openDispatch(dispatch).ifPresent((open) -> {
			open.runner.path.connected(open.sentNanos);
			placeWaiting(nowNanos);
		});
	}

	/**
	 * Records that the first event of a dispatch was sent to the caller.
	 */
	public void firstEventSent(Job job, int dispatch, long nowNanos) {
		job.openDispatch(dispatch).filter((open) -> !open.firstEventSent).ifPresent((open) -> {
			this.dispatches.firstEventSent(open, nowNanos);
			placeWaiting(nowNanos);
		});
	}

	/**
	 * Records that a dispatch was cancelled because another one has continued the answer.
	 * @param by the number of the other dispatch
	 */
	public void dispatchSuperseded(Job job, int dispatch, int by, long nowNanos) {
		job.openDispatch(dispatch).ifPresent((open) -> {
			this.dispatches.cancel(open, CancelReason.SUPERSEDED, nowNanos);
			job.openDispatch(by).ifPresent(this.dispatches::continued);
			if (job.openDispatches().isEmpty()) {
				// The other one was cancelled by this thread at the same time.
				retryOrEnd(job, DispatchOutcome.BROKEN, nowNanos);
			}
			placeWaiting(nowNanos);
		});
	}

	/**
	 * Records the outcome of a dispatch.
	 */
	public void dispatchEnded(Job job, int dispatch, DispatchOutcome outcome, long nowNanos) {
		job.openDispatch(dispatch).ifPresent((open) -> {
			this.dispatches.ended(open, outcome, nowNanos);
			if (job.openDispatches().isEmpty()) {
				lastDispatchEnded(job, outcome, nowNanos);
			}
			placeWaiting(nowNanos);
		});
	}

	private void lastDispatchEnded(Job job, DispatchOutcome outcome, long nowNanos) {
		switch (this.retryPolicy.decide(job, outcome)) {
			case FINISH -> finish(job);
			case FORWARD_ERROR -> {
				finish(job);
				this.pendingEffects.add(new DispatchEffect.ForwardError(job));
			}
			case FAIL -> endWithoutRetry(job, outcome, nowNanos);
			case RETRY -> retry(job, outcome, nowNanos);
		}
	}

	/**
	 * Records that the caller has disconnected.
	 */
	public void callerDisconnected(Job job, long nowNanos) {
		if (!job.finished) {
			this.dispatches.cancelAll(job, CancelReason.CALLER_DISCONNECTED, nowNanos);
			finish(job);
			placeWaiting(nowNanos);
		}
	}

	/**
	 * Ends all requests, since this process is about to end.
	 * @param code the reason
	 */
	public void endAll(Code code, long nowNanos) {
		for (Job job : List.copyOf(this.jobs.values())) {
			this.dispatches.cancelAll(job, CancelReason.STOPPING, nowNanos);
			finish(job);
			this.responses.endStopped(job, code);
		}
	}

	/**
	 * Applies timeouts and places waiting requests.
	 */
	public void tick(long nowNanos) {
		this.registry.tick(nowNanos);
		this.poisonGuard.quarantine().tick(nowNanos);
		for (Job job : List.copyOf(this.jobs.values())) {
			if (nowNanos >= job.deadlineNanos()) {
				expire(job, nowNanos);
			}
			else if (!job.openDispatches().isEmpty()) {
				watch(job, nowNanos);
			}
		}
		this.waiting.retryAll((job) -> placeOrKeepWaiting(job, 0, nowNanos));
	}

	private void watch(Job job, long nowNanos) {
		this.dispatches.watch(job, nowNanos);
		if (job.events() == 0 && this.poisonGuard.remainingNanos(job, nowNanos).isPresent()) {
			this.dispatches.cancelAll(job, CancelReason.QUARANTINED, nowNanos);
			endIfQuarantined(job, nowNanos);
			return;
		}
		this.dispatches.cancelUnstarted(job, this.engineSpecs.of(job.service()), nowNanos);
		if (job.openDispatches().isEmpty()) {
			retryOrEnd(job, DispatchOutcome.BROKEN, nowNanos);
		}
		this.dispatches.watchSilence(job, nowNanos);
		this.hedges.secondRunner(job, this.engineSpecs.of(job.service()), nowNanos)
			.ifPresent((choice) -> send(job, choice, nowNanos));
	}

	private void retryOrEnd(Job job, DispatchOutcome outcome, long nowNanos) {
		if (this.retryPolicy.canRetry(job)) {
			retry(job, outcome, nowNanos);
		}
		else {
			endWithoutRetry(job, outcome, nowNanos);
		}
	}

	private void retry(Job job, DispatchOutcome outcome, long nowNanos) {
		if (endIfQuarantined(job, nowNanos)) {
			return;
		}
		boolean chargesBudget = outcome != DispatchOutcome.NOT_SENT;
		if (chargesBudget && !this.retryBudgets.tryAcquire(job.service(), nowNanos)) {
			endWithoutRetry(job, outcome, nowNanos);
			return;
		}
		place(job, nowNanos);
	}

	private boolean endIfQuarantined(Job job, long nowNanos) {
		OptionalLong remaining = this.poisonGuard.remainingNanos(job, nowNanos);
		if (remaining.isEmpty()) {
			return false;
		}
		finish(job);
		this.responses.endQuarantined(job, remaining.getAsLong());
		return true;
	}

	private void endWithoutRetry(Job job, DispatchOutcome outcome, long nowNanos) {
		finish(job);
		this.responses.endWithoutRetry(job, outcome, nowNanos);
	}

	private void expire(Job job, long nowNanos) {
		this.dispatches.cancelAll(job, CancelReason.DEADLINE_PASSED, nowNanos);
		finish(job);
		this.responses.deadlineExceeded(job, nowNanos);
	}

	private void place(Job job, long nowNanos) {
		boolean late = this.admission.assess(job, nowNanos);
		if (placeOrKeepWaiting(job, this.waiting.ahead(job, late), nowNanos)) {
			this.waiting.add(job, late);
		}
	}

	private boolean placeOrKeepWaiting(Job job, int ahead, long nowNanos) {
		if (endIfQuarantined(job, nowNanos)) {
			return false;
		}
		if (this.poisonGuard.quarantine().undecided(job.contentHash())) {
			return true;
		}
		Placement.Choice choice = this.placement.choose(job, this.engineSpecs.of(job.service()),
				this.admission.assess(job, nowNanos), nowNanos);
		switch (this.admission.decide(job, choice, ahead, nowNanos)) {
			case SEND -> send(job, choice, nowNanos);
			case WAIT -> {
				return true;
			}
			case REFUSE -> {
				finish(job);
				this.responses.endWithoutRunner(job, choice, nowNanos);
			}
		}
		return false;
	}

	private void send(Job job, Placement.Choice choice, long nowNanos) {
		if (job.dispatchCount == 0) {
			this.retryBudgets.recordFirstDispatch(job.service());
			this.admission.admitted(job, nowNanos);
		}
		this.dispatches.send(job, choice, this.engineSpecs.of(job.service()), nowNanos);
	}

	private void placeWaiting(long nowNanos) {
		this.waiting.retry((job) -> placeOrKeepWaiting(job, 0, nowNanos));
	}

	private void finish(Job job) {
		job.finished = true;
		this.jobs.remove(job.id());
	}

}
