package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.WeightFile;

/**
 * Brings the engine from the weights it serves to those of the accepted bundle, in
 * stages: fetch while the old ones serve, take a slot, stop admitting, let running calls
 * end, renew the lease, order, read back, admit.
 */
final class WeightSwitch {

	private static final Code HEAD_BEHIND = Code.error("head-behind-engine",
			"The engine has taken an order of a higher generation than the head that this agent knows.");

	private static final Code ORDER_IGNORED = Code.warning("order-not-followed",
			"The engine does not serve what it was ordered to; it is ordered again.");

	private static final Code RUNNER_DOWN = Code.error("runner-unreachable", "The runner does not answer its agent.");

	// The read-back is what a roll waits for on every VM, one wave after another, so it
	// is
	// made often; a load that takes minutes costs ten small reads a second, on the same
	// VM.
	private static final long FIRST_POLL_NANOS = 20_000_000L;

	private static final long LAST_POLL_NANOS = 100_000_000L;

	private static final long LOAD_NANOS = 900_000_000L;

	// A version that is gone from the origin may still come from a peer, or come back.
	private static final long REFETCH_NANOS = 10_000_000_000L;

	private static final long PATIENCE_NANOS = 3_000_000_000L;

	// One lost answer is no reason to turn calls away; three seconds of silence are.
	private static final int DOWN_AFTER = 3;

	private final AgentIdentity self;

	private final HeadTracker head;

	private final BundleIntake intake;

	private final EpochLease lease;

	private final SlotHolder slots;

	private final Invariants invariants;

	private Phase phase = Phase.SETTLED;

	private Optional<EngineView> engine = Optional.empty();

	private int unread;

	private boolean reading;

	private long readAt;

	private long lookedAt = -LOAD_NANOS;

	private long pollNanos = FIRST_POLL_NANOS;

	private boolean suspect;

	private boolean proven;

	private boolean fenced;

	private boolean replaced;

	private String fetching = "";

	private String fetched = "";

	private String fetchFailing = "";

	private long refetchAt;

	private String orderFailing = "";

	private List<String> stored = List.of();

	private String ordered = "";

	private long orderedGeneration;

	private long idleSince;

	WeightSwitch(AgentIdentity self, HeadTracker head, BundleIntake intake, EpochLease lease, SlotHolder slots,
			Invariants invariants) {
		this.self = self;
		this.head = head;
		this.intake = intake;
		this.lease = lease;
		this.slots = slots;
		this.invariants = invariants;
	}

	/**
	 * Returns what the engine said that it serves, empty while it loads or is in doubt.
	 */
	String serving() {
		return this.engine.filter((view) -> !view.loading() && !this.suspect).map(EngineView::weightsDigest).orElse("");
	}

	Optional<EngineView> engine() {
		return this.engine;
	}

	boolean replaced() {
		return this.replaced;
	}

	String failing() {
		if (this.unread >= DOWN_AFTER) {
			return RUNNER_DOWN.name();
		}
		return this.orderFailing.isEmpty() ? this.fetchFailing : this.orderFailing;
	}

	/**
	 * Returns whether calls may go to the engine now, for the weights that it serves.
	 */
	boolean admitting() {
		boolean steady = this.phase == Phase.SETTLED || this.phase == Phase.FETCHING || this.phase == Phase.SLOT;
		boolean assigned = this.intake.accepted().map((bundle) -> bundle.spec().isPresent()).orElse(true);
		return steady && assigned && !serving().isEmpty() && this.unread < DOWN_AFTER
				&& (this.head.established() || this.proven);
	}

	void engineRead(EngineView view, Turn turn) {
		this.reading = false;
		this.unread = 0;
		this.suspect = false;
		this.engine = Optional.of(view);
		this.readAt = turn.now() + this.pollNanos;
		this.pollNanos = Math.min(2 * this.pollNanos, LAST_POLL_NANOS);
		OptionalLong epoch = this.lease.epoch();
		if (epoch.isPresent() && view.epoch() > epoch.getAsLong()) {
			this.replaced = true;
		}
		if (this.fenced) {
			fenced(view);
		}
		if (!this.proven) {
			this.proven = proof(view);
		}
	}

	void engineUnread(Turn turn) {
		this.reading = false;
		this.unread = Math.min(this.unread + 1, DOWN_AFTER);
		this.readAt = turn.now() + LAST_POLL_NANOS;
	}

	/**
	 * Stops trusting the last look: an answer came from other weights.
	 */
	void doubt(Turn turn) {
		this.suspect = true;
		look(turn);
	}

	void fetched(String weightsDigest) {
		if (weightsDigest.equals(this.fetching)) {
			this.fetched = weightsDigest;
			this.fetchFailing = "";
		}
	}

	void fetchFailed(String weightsDigest, String code, Turn turn) {
		if (weightsDigest.equals(this.fetching)) {
			this.fetchFailing = code;
			this.refetchAt = turn.now() + REFETCH_NANOS;
		}
	}

	void orderEnded(AgentEvent event, Turn turn) {
		if (this.phase != Phase.ORDERED) {
			return;
		}
		this.idleSince = turn.now();
		this.pollNanos = FIRST_POLL_NANOS;
		this.readAt = turn.now();
		switch (event) {
			case AgentEvent.OrderLapsed lapsed -> {
				this.lease.lapse();
				this.phase = Phase.DRAINING;
			}
			case AgentEvent.OrderFenced refused -> this.fenced = true;
			default -> {
			}
		}
	}

	/**
	 * Asks for the engine's state once a second, for its load and in case it changed
	 * behind the agent's back.
	 */
	void tick(Turn turn) {
		if (!this.self.plain() && turn.now() >= this.lookedAt + LOAD_NANOS) {
			look(turn);
		}
	}

	void advance(int running, Turn turn) {
		if (this.self.plain() || this.replaced) {
			return;
		}
		Optional<AcceptedBundle> accepted = this.intake.accepted();
		if (!this.proven && this.engine.isPresent()) {
			this.proven = proof(this.engine.get());
		}
		if (this.engine.isEmpty() || this.suspect) {
			lookWhenDue(turn);
			return;
		}
		if (this.phase == Phase.ORDERED) {
			readBack(turn);
			return;
		}
		accepted.ifPresent((bundle) -> towards(bundle, this.engine.get(), running, turn));
	}

	private void towards(AcceptedBundle target, EngineView view, int running, Turn turn) {
		if (target.spec().isEmpty()) {
			settle(turn);
			return;
		}
		if (serving().equals(target.weightsDigest())) {
			dropOthers(target, turn);
			settle(turn);
			return;
		}
		if (view.loading()) {
			lookWhenDue(turn);
			return;
		}
		// The engine's own memory is the one witness that outlives agents and a lagging
		// neighbour: ordering it below what it has taken would turn this VM back.
		if (view.generation() > target.generation()) {
			this.orderFailing = HEAD_BEHIND.name();
			this.phase = Phase.SETTLED;
			this.slots.release(turn);
			return;
		}
		if (!hasFetched(target, turn)) {
			this.phase = Phase.FETCHING;
			// An engine that could not load keeps its slot, so that weights which break
			// engines stop at the first few of a place.
			if (this.orderFailing.isEmpty()) {
				this.slots.release(turn);
			}
			return;
		}
		if (!this.head.established() || this.lease.epoch().isEmpty()) {
			return;
		}
		if (!this.slots.taken()) {
			this.phase = Phase.SLOT;
			this.slots.want(target.spec().get().minReady(), !admitting(), turn);
			return;
		}
		this.phase = Phase.DRAINING;
		if (running == 0) {
			order(target, turn);
		}
	}

	private void settle(Turn turn) {
		this.phase = Phase.SETTLED;
		this.orderFailing = "";
		this.fetchFailing = "";
		this.slots.release(turn);
	}

	/**
	 * Drops the files that served before. Only here: until the new weights are read back
	 * from the engine, the old ones are all that callers can be answered from.
	 */
	private void dropOthers(AcceptedBundle target, Turn turn) {
		List<String> needed = target.files().stream().map(WeightFile::digest).toList();
		List<String> unneeded = this.stored.stream().filter((file) -> !needed.contains(file)).toList();
		this.stored = needed;
		if (!unneeded.isEmpty()) {
			turn.add(new AgentEffect.DropWeights(unneeded));
		}
	}

	private boolean hasFetched(AcceptedBundle target, Turn turn) {
		boolean again = !this.fetchFailing.isEmpty() && turn.now() >= this.refetchAt;
		if (again || !target.weightsDigest().equals(this.fetching)) {
			this.fetching = target.weightsDigest();
			this.fetched = "";
			this.fetchFailing = "";
			turn.add(new AgentEffect.FetchWeights(target.weightsDigest(), target.files()));
		}
		return this.fetched.equals(target.weightsDigest());
	}

	private void order(AcceptedBundle target, Turn turn) {
		OptionalLong until = this.lease.orderUntil(turn);
		if (until.isEmpty()) {
			return;
		}
		if (!this.invariants.holds(target.generation() >= this.orderedGeneration, "no-revert",
				"order of generation " + target.generation() + " after " + this.orderedGeneration)) {
			return;
		}
		this.phase = Phase.ORDERED;
		this.ordered = target.weightsDigest();
		this.orderedGeneration = target.generation();
		this.idleSince = turn.now();
		this.readAt = Long.MAX_VALUE;
		turn.add(new AgentEffect.SendOrder(target.weightsDigest(),
				target.files().stream().map(WeightFile::digest).toList(), target.generation(),
				this.lease.epoch().getAsLong(), until.getAsLong()));
	}

	/**
	 * Waits until the engine itself says that it serves what was ordered. An engine that
	 * ignores fencing may have taken another agent's order in between, and a lost answer
	 * may hide an order that was taken: only its state tells.
	 */
	private void readBack(Turn turn) {
		EngineView view = this.engine.get();
		if (this.readAt == Long.MAX_VALUE) {
			return;
		}
		if (!view.loading() && view.weightsDigest().equals(this.ordered)) {
			this.phase = Phase.SETTLED;
			this.orderFailing = "";
			return;
		}
		if (view.loading()) {
			this.idleSince = turn.now();
		}
		if (turn.now() - this.idleSince > PATIENCE_NANOS) {
			this.orderFailing = ORDER_IGNORED.name();
			this.phase = Phase.DRAINING;
			// The store may have lost what was fetched: the next fetch looks again.
			this.fetching = "";
			return;
		}
		lookWhenDue(turn);
	}

	/**
	 * Decides what a refused order means: the state shows who went further. A higher
	 * generation under no higher epoch was ordered by this VM's earlier agent, so it is
	 * the head known here that is old; anything else is a newer agent.
	 */
	private void fenced(EngineView view) {
		this.fenced = false;
		boolean epochBelow = this.lease.epoch().isPresent() && view.epoch() <= this.lease.epoch().getAsLong();
		if (epochBelow && view.generation() > this.orderedGeneration) {
			this.orderFailing = HEAD_BEHIND.name();
			this.phase = Phase.SETTLED;
			return;
		}
		this.replaced = true;
	}

	/**
	 * Returns whether the engine already serves a generation at least as high as all that
	 * was heard: then to go on serving it reverts nothing, whoever was heard.
	 */
	private boolean proof(EngineView view) {
		if (view.loading() || view.weightsDigest().isEmpty() || this.head.generation() == 0) {
			return false;
		}
		if (view.generation() > this.head.generation()) {
			return true;
		}
		return this.intake.accepted()
			.filter((bundle) -> bundle.generation() == this.head.generation())
			.filter((bundle) -> bundle.weightsDigest().equals(view.weightsDigest()))
			.isPresent();
	}

	private void lookWhenDue(Turn turn) {
		if (turn.now() >= this.readAt) {
			look(turn);
			return;
		}
		turn.wakeAt(this.readAt);
	}

	private void look(Turn turn) {
		if (!this.reading) {
			this.reading = true;
			this.lookedAt = turn.now();
			turn.add(new AgentEffect.ReadEngine());
		}
	}

	private enum Phase {

		SETTLED, FETCHING, SLOT, DRAINING, ORDERED

	}

}
