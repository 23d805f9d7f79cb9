package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Head;

/**
 * State machine of an agent: follows the head, switches the engine's weights, admits
 * calls and drains. It does no I/O itself; each event yields the effects that the I/O
 * layer must carry out. Not thread-safe.
 */
public final class AgentStateMachine {

	private static final Code DRAIN_TIMEOUT = Code.error("drain-timeout",
			"Calls still ran when the time to drain was over; they were cut.");

	private static final String HEAD_KEY = "head";

	// Interval at which the agent reads the head from the platform itself, while no
	// sender has confirmed the head or no entry is connected. It is long because after
	// an outage all agents read at once.
	private static final long HEAD_POLL_INTERVAL_NANOS = 2_000_000_000L;

	private static final long RUNNER_BACKOFF_NANOS = 1_000_000_000L;

	// Minimum time between announcing the drain and stopping, so that a call already in
	// flight is refused as not run instead of failing on a closed link.
	private static final long MIN_DRAIN_NANOS = 1_000_000_000L;

	private final AgentIdentity identity;

	private final AgentLimits limits;

	private final HeadTracker head;

	private final BundleAcceptor bundles;

	private final EpochLease lease;

	private final SwitchSlotClient slots;

	private final WeightSwitch weightSwitch;

	private final CallGate gate;

	private final StatusWriter statusWriter;

	private AgentStatus status = AgentStatus.INITIAL;

	private boolean started;

	private boolean leaving;

	private boolean stopped;

	private long leavingSinceNanos;

	private int connectedEntries;

	private boolean headReadInFlight;

	private long nextHeadReadNanos;

	private long runnerBackoffUntilNanos;

	private long verifiedChunks;

	private long totalChunks;

	private double signalledLateShare;

	private long scheduledWakeNanos = Long.MAX_VALUE;

	private AgentStateMachine(AgentIdentity identity, AgentLimits limits, ApprovalPolicy approvalPolicy,
			Invariants invariants, UniformRandomProvider random) {
		this.identity = identity;
		this.limits = limits;
		this.head = new HeadTracker(limits, invariants);
		this.bundles = new BundleAcceptor(identity, approvalPolicy, invariants);
		this.lease = new EpochLease(identity, limits);
		this.slots = new SwitchSlotClient(identity, limits, random);
		this.weightSwitch = new WeightSwitch(identity, this.head, this.bundles, this.lease, this.slots, invariants);
		this.gate = new CallGate(limits);
		this.statusWriter = new StatusWriter(identity);
	}

	/**
	 * Returns a machine in its initial state.
	 * @param random source of retry jitter
	 */
	public static AgentStateMachine create(AgentIdentity identity, AgentLimits limits, ApprovalPolicy approvalPolicy,
			Invariants invariants, UniformRandomProvider random) {
		return new AgentStateMachine(identity, limits, approvalPolicy, invariants, random);
	}

	/**
	 * Returns the status after the last event.
	 */
	public AgentStatus status() {
		return this.status;
	}

	/**
	 * Applies an event and returns the effects to carry out.
	 * @param nowNanos current time of the monotonic clock
	 */
	public List<AgentEffect> apply(AgentEvent event, long nowNanos) {
		EventContext context = new EventContext(nowNanos);
		if (this.stopped) {
			return context.effects();
		}
		if (!this.started) {
			this.started = true;
			this.nextHeadReadNanos = nowNanos;
			this.lease.start(context);
			this.weightSwitch.tick(context);
		}
		handle(event, context);
		advance(context);
		return context.effects();
	}

	private void handle(AgentEvent event, EventContext context) {
		switch (event) {
			case AgentEvent.Tick tick -> tick(context);
			case AgentEvent.HeadReceived received -> this.head.receive(received);
			case AgentEvent.EntriesConnected connected -> this.connectedEntries = connected.count();
			case AgentEvent.BundleReceived bundle -> this.bundles.received(bundle, this.head, context);
			case AgentEvent.BundleUnavailable unavailable -> this.bundles.unavailable(unavailable.digest(), context);
			case AgentEvent.WeightsFetched fetched -> this.weightSwitch.fetched(fetched.weightsDigest());
			case AgentEvent.WeightsFetchFailed failed ->
				this.weightSwitch.fetchFailed(failed.weightsDigest(), failed.code(), context);
			case AgentEvent.FetchProgress progress -> updateProgress(progress);
			case AgentEvent.ObjectRead read -> objectRead(read, context);
			case AgentEvent.ObjectReadFailed failed -> objectReadFailed(failed.key(), context);
			case AgentEvent.ObjectWritten written -> objectWritten(written.key(), context);
			case AgentEvent.ObjectWriteConflict conflict -> objectWriteFailed(conflict.key(), true, context);
			case AgentEvent.ObjectWriteUnconfirmed unconfirmed -> objectWriteFailed(unconfirmed.key(), false, context);
			case AgentEvent.EngineStatusRead engine -> this.weightSwitch.engineRead(engine.status(), context);
			case AgentEvent.EngineStatusReadFailed failed -> this.weightSwitch.engineReadFailed(context);
			case AgentEvent.OrderAccepted accepted -> this.weightSwitch.orderCompleted(accepted, context);
			case AgentEvent.OrderFenced fenced -> this.weightSwitch.orderCompleted(fenced, context);
			case AgentEvent.OrderUnconfirmed unconfirmed -> this.weightSwitch.orderCompleted(unconfirmed, context);
			case AgentEvent.OrderLeaseExpired expired -> this.weightSwitch.orderCompleted(expired, context);
			case AgentEvent.PeersRead peers -> updatePeers(peers, context);
			case AgentEvent.CallArrived call -> this.gate.arrived(call, context);
			case AgentEvent.ResponseStarted response -> this.gate.responseStarted(response.call(), context);
			case AgentEvent.CallEnded ended -> this.gate.ended(ended.call(), context);
			case AgentEvent.CallCancelled cancelled -> this.gate.cancelled(cancelled.call(), context);
			case AgentEvent.WrongWeightsDetected wrong -> this.weightSwitch.wrongWeightsDetected(context);
			case AgentEvent.RunnerUnreachable unreachable ->
				this.runnerBackoffUntilNanos = context.now() + RUNNER_BACKOFF_NANOS;
			case AgentEvent.LeaveRequested leave -> startLeaving(context);
		}
	}

	private void tick(EventContext context) {
		if (context.now() >= this.scheduledWakeNanos) {
			this.scheduledWakeNanos = Long.MAX_VALUE;
		}
		this.lease.tick(context);
		this.weightSwitch.tick(context);
		this.gate.refuseExpired(context);
	}

	private void updateProgress(AgentEvent.FetchProgress progress) {
		this.verifiedChunks = progress.verifiedChunks();
		this.totalChunks = progress.totalChunks();
	}

	private void updatePeers(AgentEvent.PeersRead peers, EventContext context) {
		this.slots.updatePeers(peers.vms());
		if (peers.selfLeaving()) {
			startLeaving(context);
		}
	}

	private void objectRead(AgentEvent.ObjectRead read, EventContext context) {
		if (read.key().equals(HEAD_KEY)) {
			this.headReadInFlight = false;
			Head stored = read.value().map((object) -> BundleCodec.head(object.value())).orElse(Head.NONE);
			long stalenessMillis = (context.now() - read.sentNanos()) / 1_000_000;
			this.head.receive(new AgentEvent.HeadReceived(stored.generation(), stored.digest(), true, stalenessMillis));
		}
		else if (read.key().equals(this.identity.leaseKey())) {
			this.lease.read(read, context);
		}
		else if (read.key().equals(this.identity.slotsKey())) {
			this.slots.read(read.value(), context);
		}
	}

	private void objectReadFailed(String key, EventContext context) {
		if (key.equals(HEAD_KEY)) {
			this.headReadInFlight = false;
		}
		else if (key.equals(this.identity.leaseKey())) {
			this.lease.readFailed(context);
		}
		else if (key.equals(this.identity.slotsKey())) {
			this.slots.readFailed(context);
		}
	}

	private void objectWritten(String key, EventContext context) {
		if (key.equals(this.identity.leaseKey())) {
			this.lease.written(context);
		}
		else if (key.equals(this.identity.slotsKey())) {
			this.slots.written(context);
		}
		else if (key.equals(this.identity.statusKey())) {
			this.statusWriter.writeCompleted(true);
		}
	}

	private void objectWriteFailed(String key, boolean conflict, EventContext context) {
		if (key.equals(this.identity.leaseKey())) {
			this.lease.writeFailed(conflict, context);
		}
		else if (key.equals(this.identity.slotsKey())) {
			this.slots.writeFailed(conflict, context);
		}
		else if (key.equals(this.identity.statusKey())) {
			this.statusWriter.writeCompleted(false);
		}
	}

	private void startLeaving(EventContext context) {
		if (!this.leaving) {
			this.leaving = true;
			this.leavingSinceNanos = context.now();
			context.add(new AgentEffect.AnnounceLeaving());
		}
	}

	private void advance(EventContext context) {
		pollHead(context);
		this.bundles.advance(this.head, context);
		this.gate.updateAdmission(admissionRules(context), context);
		if (!this.leaving) {
			this.weightSwitch.advance(this.gate.running(), context);
			this.gate.updateAdmission(admissionRules(context), context);
		}
		this.slots.advance(context);
		updateStatus(context);
		if (this.lease.replaced() || this.weightSwitch.replaced()) {
			stop(EpochLease.REPLACED.name(), context);
		}
		drain(context);
		scheduleWake(context);
	}

	private void pollHead(EventContext context) {
		boolean needed = !this.head.established() || this.connectedEntries == 0;
		if (!needed || this.headReadInFlight) {
			return;
		}
		if (context.now() < this.nextHeadReadNanos) {
			context.wakeAt(this.nextHeadReadNanos);
			return;
		}
		this.headReadInFlight = true;
		this.nextHeadReadNanos = context.now() + HEAD_POLL_INTERVAL_NANOS;
		context.add(new AgentEffect.ReadObject(HEAD_KEY));
	}

	private AdmissionRules admissionRules(EventContext context) {
		boolean backoffElapsed = context.now() >= this.runnerBackoffUntilNanos;
		if (!backoffElapsed) {
			context.wakeAt(this.runnerBackoffUntilNanos);
		}
		boolean ready = this.identity.plainService() ? plainAdmitting() : this.weightSwitch.admitting();
		return new AdmissionRules(ready && backoffElapsed && !this.leaving, this.leaving,
				this.weightSwitch.servedWeights(), capacity());
	}

	/**
	 * Returns whether an accepted bundle assigns the plain service to this VM. The head
	 * need not be confirmed, since a plain service has no weights that a stale head could
	 * revert.
	 */
	private boolean plainAdmitting() {
		return this.bundles.accepted().filter((bundle) -> bundle.serviceSpec().isPresent()).isPresent();
	}

	private int capacity() {
		return this.weightSwitch.engineStatus()
			.map(LocalEngineStatus::capacity)
			.filter((reported) -> reported > 0)
			.orElse(this.limits.defaultCapacity());
	}

	private void updateStatus(EventContext context) {
		AgentStatus previous = this.status;
		AdmissionRules admission = admissionRules(context);
		Optional<AcceptedBundle> bundle = this.bundles.accepted();
		int engineRunning = this.weightSwitch.engineStatus().map(LocalEngineStatus::running).orElse(0);
		int engineQueued = this.weightSwitch.engineStatus().map(LocalEngineStatus::queued).orElse(0);
		this.status = new AgentStatus(admission.admitting(), this.leaving, admission.weightsDigest(),
				bundle.map(AcceptedBundle::generation).orElse(0L), bundle.map(AcceptedBundle::digest).orElse(""),
				Math.max(this.gate.running(), engineRunning), admission.capacity(), this.gate.queued() + engineQueued,
				this.verifiedChunks, this.totalChunks, failureCode(), this.lease.epoch().orElse(0),
				this.head.generation(), this.head.digest(),
				bundle.map((one) -> new AgentStatus.SignedBundle(one.content(), one.signatures())));
		if (this.status.requiresImmediateReport(previous)) {
			context.add(new AgentEffect.SendReport());
		}
		this.statusWriter.advance(this.status, context);
		if (Math.abs(this.gate.lateShare() - this.signalledLateShare) >= 0.05) {
			this.signalledLateShare = this.gate.lateShare();
			context.add(new AgentEffect.ThrottleTransfer(this.signalledLateShare));
		}
	}

	private String failureCode() {
		return this.bundles.failureCode().isEmpty() ? this.weightSwitch.failureCode() : this.bundles.failureCode();
	}

	private void drain(EventContext context) {
		if (!this.leaving || this.stopped) {
			return;
		}
		this.slots.release(context);
		long elapsedNanos = context.now() - this.leavingSinceNanos;
		if (elapsedNanos >= this.limits.drainTimeout().toNanos()) {
			this.gate.cancelAll(context);
			stop(DRAIN_TIMEOUT.name(), context);
			return;
		}
		if (this.gate.running() == 0 && elapsedNanos >= MIN_DRAIN_NANOS
				&& (this.slots.idle() || elapsedNanos >= 3 * MIN_DRAIN_NANOS)) {
			stop("", context);
			return;
		}
		if (elapsedNanos < MIN_DRAIN_NANOS) {
			context.wakeAt(this.leavingSinceNanos + MIN_DRAIN_NANOS);
		}
	}

	private void stop(String code, EventContext context) {
		if (!this.stopped) {
			this.stopped = true;
			context.add(new AgentEffect.Stop(code));
		}
	}

	/**
	 * Schedules a tick if one is needed earlier than the tick already scheduled.
	 */
	private void scheduleWake(EventContext context) {
		if (context.wakeAt() < this.scheduledWakeNanos) {
			this.scheduledWakeNanos = context.wakeAt();
			context.add(new AgentEffect.ScheduleTick(Math.max(0, this.scheduledWakeNanos - context.now())));
		}
	}

}
