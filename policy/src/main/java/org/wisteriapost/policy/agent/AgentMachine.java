package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Head;

/**
 * Returns for each event the effects that the I/O layer must carry out. Used by one
 * thread.
 */
public final class AgentMachine {

	private static final Code DRAIN_TIMEOUT = Code.error("drain-timeout",
			"Calls still ran when the time to drain was over; they were cut.");

	private static final String HEAD_KEY = "head";

	// While nobody has confirmed the head, and while no entry is connected, the agent
	// asks
	// the platform itself: seldom, since after an outage all agents do it at once.
	private static final long HEAD_POLL_NANOS = 2_000_000_000L;

	private static final long RUNNER_REST_NANOS = 1_000_000_000L;

	// Entries hear of the leaving within milliseconds; a call that was already on its way
	// must still meet a gate that says "not run" rather than a closed link.
	private static final long LINGER_NANOS = 1_000_000_000L;

	private final AgentIdentity self;

	private final AgentLimits limits;

	private final HeadTracker head;

	private final BundleIntake intake;

	private final EpochLease lease;

	private final SlotHolder slots;

	private final WeightSwitch weights;

	private final CallGate gate;

	private final StatusWriter status;

	private AgentView view = AgentView.STARTING;

	private boolean started;

	private boolean leaving;

	private boolean stopped;

	private long leaveSince;

	private int entries;

	private boolean headReading;

	private long headAt;

	private long runnerRestUntil;

	private long verified;

	private long total;

	private double lateSaid;

	private long wakeAt = Long.MAX_VALUE;

	private AgentMachine(AgentIdentity self, AgentLimits limits, OperatorKeys operators, Invariants invariants,
			UniformRandomProvider random) {
		this.self = self;
		this.limits = limits;
		this.head = new HeadTracker(limits, invariants);
		this.intake = new BundleIntake(self, operators, invariants);
		this.lease = new EpochLease(self, limits);
		this.slots = new SlotHolder(self, limits, random);
		this.weights = new WeightSwitch(self, this.head, this.intake, this.lease, this.slots, invariants);
		this.gate = new CallGate(limits);
		this.status = new StatusWriter(self);
	}

	/**
	 * Returns a machine that knows nothing yet.
	 * @param random seeded; spreads retries
	 */
	public static AgentMachine create(AgentIdentity self, AgentLimits limits, OperatorKeys operators,
			Invariants invariants, UniformRandomProvider random) {
		return new AgentMachine(self, limits, operators, invariants, random);
	}

	/**
	 * Returns what the agent says of itself after the last event.
	 */
	public AgentView view() {
		return this.view;
	}

	/**
	 * Applies one event.
	 * @param nowNanos the monotonic clock
	 */
	public List<AgentEffect> apply(AgentEvent event, long nowNanos) {
		Turn turn = new Turn(nowNanos);
		if (this.stopped) {
			return turn.effects();
		}
		if (!this.started) {
			this.started = true;
			this.headAt = nowNanos;
			this.lease.start(turn);
			this.weights.tick(turn);
		}
		handle(event, turn);
		advance(turn);
		return turn.effects();
	}

	private void handle(AgentEvent event, Turn turn) {
		switch (event) {
			case AgentEvent.Tick tick -> tick(turn);
			case AgentEvent.HeadHeard heard -> this.head.hear(heard);
			case AgentEvent.EntriesConnected connected -> this.entries = connected.count();
			case AgentEvent.BundleArrived arrived -> this.intake.arrived(arrived, this.head, turn);
			case AgentEvent.BundleMissing missing -> this.intake.missing(missing.digest(), turn);
			case AgentEvent.WeightsFetched fetched -> this.weights.fetched(fetched.weightsDigest());
			case AgentEvent.WeightsFailed failed ->
				this.weights.fetchFailed(failed.weightsDigest(), failed.code(), turn);
			case AgentEvent.FetchProgress progress -> progress(progress);
			case AgentEvent.ObjectRead read -> read(read, turn);
			case AgentEvent.ObjectUnread unread -> unread(unread.key(), turn);
			case AgentEvent.ObjectWritten written -> written(written.key(), turn);
			case AgentEvent.ObjectConflict conflict -> unwritten(conflict.key(), true, turn);
			case AgentEvent.ObjectUnconfirmed lost -> unwritten(lost.key(), false, turn);
			case AgentEvent.EngineRead engine -> this.weights.engineRead(engine.view(), turn);
			case AgentEvent.EngineUnread unread -> this.weights.engineUnread(turn);
			case AgentEvent.OrderTaken taken -> this.weights.orderEnded(taken, turn);
			case AgentEvent.OrderFenced fenced -> this.weights.orderEnded(fenced, turn);
			case AgentEvent.OrderUnconfirmed lost -> this.weights.orderEnded(lost, turn);
			case AgentEvent.OrderLapsed lapsed -> this.weights.orderEnded(lapsed, turn);
			case AgentEvent.PeersRead peers -> peers(peers, turn);
			case AgentEvent.CallArrived call -> this.gate.arrive(call, turn);
			case AgentEvent.CallAnswered answered -> this.gate.answered(answered.call(), turn);
			case AgentEvent.CallEnded ended -> this.gate.ended(ended.call(), turn);
			case AgentEvent.CallCancelled cancelled -> this.gate.cancelled(cancelled.call(), turn);
			case AgentEvent.WrongWeightsAnswered wrong -> this.weights.doubt(turn);
			case AgentEvent.RunnerUnreachable down -> this.runnerRestUntil = turn.now() + RUNNER_REST_NANOS;
			case AgentEvent.LeaveAsked leave -> leave(turn);
		}
	}

	private void tick(Turn turn) {
		if (turn.now() >= this.wakeAt) {
			this.wakeAt = Long.MAX_VALUE;
		}
		this.lease.tick(turn);
		this.weights.tick(turn);
		this.gate.tick(turn);
	}

	private void progress(AgentEvent.FetchProgress progress) {
		this.verified = progress.verified();
		this.total = progress.total();
	}

	private void peers(AgentEvent.PeersRead peers, Turn turn) {
		this.slots.peers(peers.vms());
		if (peers.selfLeaving()) {
			leave(turn);
		}
	}

	private void read(AgentEvent.ObjectRead read, Turn turn) {
		if (read.key().equals(HEAD_KEY)) {
			this.headReading = false;
			Head stored = read.value().map((object) -> BundleCodec.head(object.value())).orElse(Head.NONE);
			long ageMillis = (turn.now() - read.sentNanos()) / 1_000_000;
			this.head.hear(new AgentEvent.HeadHeard(stored.generation(), stored.digest(), true, ageMillis));
		}
		else if (read.key().equals(this.self.leaseKey())) {
			this.lease.read(read, turn);
		}
		else if (read.key().equals(this.self.slotsKey())) {
			this.slots.read(read.value(), turn);
		}
	}

	private void unread(String key, Turn turn) {
		if (key.equals(HEAD_KEY)) {
			this.headReading = false;
		}
		else if (key.equals(this.self.leaseKey())) {
			this.lease.unread(turn);
		}
		else if (key.equals(this.self.slotsKey())) {
			this.slots.unread(turn);
		}
	}

	private void written(String key, Turn turn) {
		if (key.equals(this.self.leaseKey())) {
			this.lease.written(turn);
		}
		else if (key.equals(this.self.slotsKey())) {
			this.slots.written(turn);
		}
		else if (key.equals(this.self.statusKey())) {
			this.status.ended(true);
		}
	}

	private void unwritten(String key, boolean conflict, Turn turn) {
		if (key.equals(this.self.leaseKey())) {
			this.lease.unwritten(conflict, turn);
		}
		else if (key.equals(this.self.slotsKey())) {
			this.slots.unwritten(conflict, turn);
		}
		else if (key.equals(this.self.statusKey())) {
			this.status.ended(false);
		}
	}

	private void leave(Turn turn) {
		if (!this.leaving) {
			this.leaving = true;
			this.leaveSince = turn.now();
			turn.add(new AgentEffect.SayLeaving());
		}
	}

	private void advance(Turn turn) {
		followHead(turn);
		this.intake.advance(this.head, turn);
		this.gate.admission(admission(turn), turn);
		if (!this.leaving) {
			this.weights.advance(this.gate.running(), turn);
			this.gate.admission(admission(turn), turn);
		}
		this.slots.advance(turn);
		show(turn);
		if (this.lease.lost() || this.weights.replaced()) {
			stop(EpochLease.REPLACED.name(), turn);
		}
		drain(turn);
		wake(turn);
	}

	private void followHead(Turn turn) {
		boolean needed = !this.head.established() || this.entries == 0;
		if (!needed || this.headReading) {
			return;
		}
		if (turn.now() < this.headAt) {
			turn.wakeAt(this.headAt);
			return;
		}
		this.headReading = true;
		this.headAt = turn.now() + HEAD_POLL_NANOS;
		turn.add(new AgentEffect.ReadObject(HEAD_KEY));
	}

	private Admission admission(Turn turn) {
		boolean rested = turn.now() >= this.runnerRestUntil;
		if (!rested) {
			turn.wakeAt(this.runnerRestUntil);
		}
		boolean open = this.self.plain() ? plainAdmitting() : this.weights.admitting();
		return new Admission(open && rested && !this.leaving, this.leaving, this.weights.serving(), capacity());
	}

	/**
	 * A plain service has no weights that an old head could turn back, so any bundle that
	 * runs it here is reason enough.
	 */
	private boolean plainAdmitting() {
		return this.intake.accepted().filter((bundle) -> bundle.spec().isPresent()).isPresent();
	}

	private int capacity() {
		return this.weights.engine()
			.map(EngineView::capacity)
			.filter((stated) -> stated > 0)
			.orElse(this.limits.capacity());
	}

	private void show(Turn turn) {
		AgentView before = this.view;
		Admission admission = admission(turn);
		Optional<AcceptedBundle> bundle = this.intake.accepted();
		int engineRunning = this.weights.engine().map(EngineView::running).orElse(0);
		int engineQueued = this.weights.engine().map(EngineView::queued).orElse(0);
		this.view = new AgentView(admission.admitting(), this.leaving, admission.weightsDigest(),
				bundle.map(AcceptedBundle::generation).orElse(0L), bundle.map(AcceptedBundle::digest).orElse(""),
				Math.max(this.gate.running(), engineRunning), admission.capacity(), this.gate.queued() + engineQueued,
				this.verified, this.total, failing(), this.lease.epoch().orElse(0), this.head.generation(),
				this.head.digest(), bundle.map((one) -> new AgentView.BundleCopy(one.content(), one.signatures())));
		if (this.view.differs(before)) {
			turn.add(new AgentEffect.ReportNow());
		}
		this.status.advance(this.view, turn);
		if (Math.abs(this.gate.late() - this.lateSaid) >= 0.05) {
			this.lateSaid = this.gate.late();
			turn.add(new AgentEffect.SlowTransfer(this.lateSaid));
		}
	}

	private String failing() {
		return this.intake.failing().isEmpty() ? this.weights.failing() : this.intake.failing();
	}

	private void drain(Turn turn) {
		if (!this.leaving || this.stopped) {
			return;
		}
		this.slots.release(turn);
		long since = turn.now() - this.leaveSince;
		if (since >= this.limits.drain().toNanos()) {
			this.gate.cancelAll(turn);
			stop(DRAIN_TIMEOUT.name(), turn);
			return;
		}
		if (this.gate.running() == 0 && since >= LINGER_NANOS && (this.slots.free() || since >= 3 * LINGER_NANOS)) {
			stop("", turn);
			return;
		}
		if (since < LINGER_NANOS) {
			turn.wakeAt(this.leaveSince + LINGER_NANOS);
		}
	}

	private void stop(String code, Turn turn) {
		if (!this.stopped) {
			this.stopped = true;
			turn.add(new AgentEffect.Stop(code));
		}
	}

	/**
	 * Asks for at most one earlier tick than the one already asked for.
	 */
	private void wake(Turn turn) {
		if (turn.wakeAt() < this.wakeAt) {
			this.wakeAt = turn.wakeAt();
			turn.add(new AgentEffect.Wake(Math.max(0, this.wakeAt - turn.now())));
		}
	}

}
