package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.WeightFile;

/**
 * Switches the engine to the weights of the accepted bundle in stages: fetch the new
 * weights while the old ones still serve, acquire a slot, stop admitting calls, wait for
 * running calls to end, renew the lease, order the engine to load, read its status back,
 * and admit calls again.
 */
final class WeightSwitch {

	private static final Code HEAD_BEHIND = Code.error("head-behind-engine",
			"The engine has taken an order of a higher generation than the head that this agent knows.");

	private static final Code ORDER_NOT_FOLLOWED = Code.warning("order-not-followed",
			"The engine does not serve what it was ordered to; it is ordered again.");

	private static final Code RUNNER_UNREACHABLE = Code.error("runner-unreachable",
			"The runner does not answer its agent.");

	// Polling intervals of the engine's status after an order. A rollout waits for this
	// status on each VM in turn, so polling is frequent; during a load of minutes it
	// costs ten small local reads a second.
	private static final long MIN_POLL_INTERVAL_NANOS = 20_000_000L;

	private static final long MAX_POLL_INTERVAL_NANOS = 100_000_000L;

	private static final long STATUS_INTERVAL_NANOS = 900_000_000L;

	// Weights that are missing at the origin may still be available from a peer, or
	// become available again.
	private static final long FETCH_RETRY_DELAY_NANOS = 10_000_000_000L;

	private static final long ORDER_TIMEOUT_NANOS = 3_000_000_000L;

	// Number of failed status reads in a row after which the engine counts as
	// unreachable and calls are refused. A single lost response must not refuse calls.
	private static final int MAX_FAILED_READS = 3;

	private final AgentIdentity identity;

	private final HeadTracker head;

	private final BundleAcceptor bundles;

	private final EpochLease lease;

	private final SwitchSlotClient slots;

	private final Invariants invariants;

	private Phase phase = Phase.STEADY;

	private Optional<LocalEngineStatus> engineStatus = Optional.empty();

	private int failedReads;

	private boolean readInFlight;

	private long nextReadNanos;

	private long lastReadNanos = -STATUS_INTERVAL_NANOS;

	private long pollIntervalNanos = MIN_POLL_INTERVAL_NANOS;

	private boolean statusSuspect;

	private boolean servedKnownHead;

	private boolean orderFenced;

	private boolean replaced;

	private String fetchTarget = "";

	private String fetchedWeights = "";

	private String fetchFailureCode = "";

	private long nextFetchNanos;

	private String orderFailureCode = "";

	private List<String> storedFiles = List.of();

	private String orderedWeights = "";

	private long orderedGeneration;

	private long idleSinceNanos;

	WeightSwitch(AgentIdentity identity, HeadTracker head, BundleAcceptor bundles, EpochLease lease,
			SwitchSlotClient slots, Invariants invariants) {
		this.identity = identity;
		this.head = head;
		this.bundles = bundles;
		this.lease = lease;
		this.slots = slots;
		this.invariants = invariants;
	}

	/**
	 * Returns the weights that the engine reports to serve, empty while it is loading or
	 * its status is suspect.
	 */
	String servedWeights() {
		return this.engineStatus.filter((status) -> !status.loading() && !this.statusSuspect)
			.map(LocalEngineStatus::weightsDigest)
			.orElse("");
	}

	Optional<LocalEngineStatus> engineStatus() {
		return this.engineStatus;
	}

	boolean replaced() {
		return this.replaced;
	}

	String failureCode() {
		if (this.failedReads >= MAX_FAILED_READS) {
			return RUNNER_UNREACHABLE.name();
		}
		return this.orderFailureCode.isEmpty() ? this.fetchFailureCode : this.orderFailureCode;
	}

	/**
	 * Returns whether calls for the weights that the engine serves may be sent to it.
	 */
	boolean admitting() {
		boolean notSwitching = this.phase == Phase.STEADY || this.phase == Phase.FETCHING
				|| this.phase == Phase.WAITING_FOR_SLOT;
		boolean assigned = this.bundles.accepted().map((bundle) -> bundle.serviceSpec().isPresent()).orElse(true);
		return notSwitching && assigned && !servedWeights().isEmpty() && this.failedReads < MAX_FAILED_READS
				&& (this.head.established() || this.servedKnownHead);
	}

	void engineRead(LocalEngineStatus status, EventContext context) {
		this.readInFlight = false;
		this.failedReads = 0;
		this.statusSuspect = false;
		this.engineStatus = Optional.of(status);
		this.nextReadNanos = context.now() + this.pollIntervalNanos;
		this.pollIntervalNanos = Math.min(2 * this.pollIntervalNanos, MAX_POLL_INTERVAL_NANOS);
		OptionalLong epoch = this.lease.epoch();
		if (epoch.isPresent() && status.epoch() > epoch.getAsLong()) {
			this.replaced = true;
		}
		if (this.orderFenced) {
			handleFencedOrder(status);
		}
		if (!this.servedKnownHead) {
			this.servedKnownHead = servesKnownHead(status);
		}
	}

	void engineReadFailed(EventContext context) {
		this.readInFlight = false;
		this.failedReads = Math.min(this.failedReads + 1, MAX_FAILED_READS);
		this.nextReadNanos = context.now() + MAX_POLL_INTERVAL_NANOS;
	}

	/**
	 * Marks the last status as suspect after a response from other weights, and reads it
	 * again.
	 */
	void wrongWeightsDetected(EventContext context) {
		this.statusSuspect = true;
		readEngine(context);
	}

	void fetched(String weightsDigest) {
		if (weightsDigest.equals(this.fetchTarget)) {
			this.fetchedWeights = weightsDigest;
			this.fetchFailureCode = "";
		}
	}

	void fetchFailed(String weightsDigest, String code, EventContext context) {
		if (weightsDigest.equals(this.fetchTarget)) {
			this.fetchFailureCode = code;
			this.nextFetchNanos = context.now() + FETCH_RETRY_DELAY_NANOS;
		}
	}

	void orderCompleted(AgentEvent event, EventContext context) {
		if (this.phase != Phase.AWAITING_LOAD) {
			return;
		}
		this.idleSinceNanos = context.now();
		this.pollIntervalNanos = MIN_POLL_INTERVAL_NANOS;
		this.nextReadNanos = context.now();
		switch (event) {
			case AgentEvent.OrderLeaseExpired expired -> {
				this.lease.invalidate();
				this.phase = Phase.DRAINING;
			}
			case AgentEvent.OrderFenced fenced -> this.orderFenced = true;
			default -> {
			}
		}
	}

	/**
	 * Reads the engine's status once a second, for its load and to detect changes that
	 * this agent did not order.
	 */
	void tick(EventContext context) {
		if (!this.identity.plainService() && context.now() >= this.lastReadNanos + STATUS_INTERVAL_NANOS) {
			readEngine(context);
		}
	}

	void advance(int running, EventContext context) {
		if (this.identity.plainService() || this.replaced) {
			return;
		}
		Optional<AcceptedBundle> accepted = this.bundles.accepted();
		if (!this.servedKnownHead && this.engineStatus.isPresent()) {
			this.servedKnownHead = servesKnownHead(this.engineStatus.get());
		}
		if (this.engineStatus.isEmpty() || this.statusSuspect) {
			readEngineWhenDue(context);
			return;
		}
		if (this.phase == Phase.AWAITING_LOAD) {
			awaitOrderedWeights(context);
			return;
		}
		accepted.ifPresent((bundle) -> advanceTowards(bundle, this.engineStatus.get(), running, context));
	}

	private void advanceTowards(AcceptedBundle target, LocalEngineStatus status, int running, EventContext context) {
		if (target.serviceSpec().isEmpty()) {
			settle(context);
			return;
		}
		if (servedWeights().equals(target.weightsDigest())) {
			deleteUnusedFiles(target, context);
			settle(context);
			return;
		}
		if (status.loading()) {
			readEngineWhenDue(context);
			return;
		}
		// Only the engine's own record of orders survives agent restarts and is
		// independent of stale peers. An order of a lower generation would revert this
		// VM to older weights.
		if (status.generation() > target.generation()) {
			this.orderFailureCode = HEAD_BEHIND.name();
			this.phase = Phase.STEADY;
			this.slots.release(context);
			return;
		}
		if (!ensureFetched(target, context)) {
			this.phase = Phase.FETCHING;
			// An agent whose engine failed to load keeps its slot, so that weights
			// which no engine can load take only a few runners of a failure domain out
			// of service.
			if (this.orderFailureCode.isEmpty()) {
				this.slots.release(context);
			}
			return;
		}
		if (!this.head.established() || this.lease.epoch().isEmpty()) {
			return;
		}
		if (!this.slots.held()) {
			this.phase = Phase.WAITING_FOR_SLOT;
			this.slots.acquire(target.serviceSpec().get().minReady(), !admitting(), context);
			return;
		}
		this.phase = Phase.DRAINING;
		if (running == 0) {
			sendOrder(target, context);
		}
	}

	private void settle(EventContext context) {
		this.phase = Phase.STEADY;
		this.orderFailureCode = "";
		this.fetchFailureCode = "";
		this.slots.release(context);
	}

	/**
	 * Deletes the files that were used before. Called only after the engine has reported
	 * to serve the new weights, since until then calls can be answered only from the old
	 * ones.
	 */
	private void deleteUnusedFiles(AcceptedBundle target, EventContext context) {
		List<String> needed = target.files().stream().map(WeightFile::digest).toList();
		List<String> unneeded = this.storedFiles.stream().filter((file) -> !needed.contains(file)).toList();
		this.storedFiles = needed;
		if (!unneeded.isEmpty()) {
			context.add(new AgentEffect.DeleteWeights(unneeded));
		}
	}

	private boolean ensureFetched(AcceptedBundle target, EventContext context) {
		boolean retry = !this.fetchFailureCode.isEmpty() && context.now() >= this.nextFetchNanos;
		if (retry || !target.weightsDigest().equals(this.fetchTarget)) {
			this.fetchTarget = target.weightsDigest();
			this.fetchedWeights = "";
			this.fetchFailureCode = "";
			context.add(new AgentEffect.FetchWeights(target.weightsDigest(), target.files()));
		}
		return this.fetchedWeights.equals(target.weightsDigest());
	}

	private void sendOrder(AcceptedBundle target, EventContext context) {
		OptionalLong deadline = this.lease.orderDeadline(context);
		if (deadline.isEmpty()) {
			return;
		}
		if (!this.invariants.holds(target.generation() >= this.orderedGeneration, "no-revert",
				"order of generation " + target.generation() + " after " + this.orderedGeneration)) {
			return;
		}
		this.phase = Phase.AWAITING_LOAD;
		this.orderedWeights = target.weightsDigest();
		this.orderedGeneration = target.generation();
		this.idleSinceNanos = context.now();
		this.nextReadNanos = Long.MAX_VALUE;
		context.add(new AgentEffect.SendOrder(target.weightsDigest(),
				target.files().stream().map(WeightFile::digest).toList(), target.generation(),
				this.lease.epoch().getAsLong(), deadline.getAsLong()));
	}

	/**
	 * Waits until the engine reports that it serves the ordered weights. Only its status
	 * is conclusive: an engine that ignores fencing may have accepted another agent's
	 * order, and a lost response may hide an order that was accepted.
	 */
	private void awaitOrderedWeights(EventContext context) {
		LocalEngineStatus status = this.engineStatus.get();
		if (this.nextReadNanos == Long.MAX_VALUE) {
			return;
		}
		if (!status.loading() && status.weightsDigest().equals(this.orderedWeights)) {
			this.phase = Phase.STEADY;
			this.orderFailureCode = "";
			return;
		}
		if (status.loading()) {
			this.idleSinceNanos = context.now();
		}
		if (context.now() - this.idleSinceNanos > ORDER_TIMEOUT_NANOS) {
			this.orderFailureCode = ORDER_NOT_FOLLOWED.name();
			this.phase = Phase.DRAINING;
			// The weight store may have lost the files, so they are fetched again.
			this.fetchTarget = "";
			return;
		}
		readEngineWhenDue(context);
	}

	/**
	 * Determines from the engine's status why an order was fenced. A higher generation
	 * under an epoch that is not higher was ordered by this agent or an earlier one on
	 * this VM, so the head known here is stale. In all other cases a newer agent has
	 * replaced this one.
	 */
	private void handleFencedOrder(LocalEngineStatus status) {
		this.orderFenced = false;
		boolean epochNotHigher = this.lease.epoch().isPresent() && status.epoch() <= this.lease.epoch().getAsLong();
		if (epochNotHigher && status.generation() > this.orderedGeneration) {
			this.orderFailureCode = HEAD_BEHIND.name();
			this.phase = Phase.STEADY;
			return;
		}
		this.replaced = true;
	}

	/**
	 * Returns whether the engine already serves a generation at least as high as every
	 * head received. Then it may go on serving before the head is confirmed, since that
	 * reverts nothing even if the head is stale.
	 */
	private boolean servesKnownHead(LocalEngineStatus status) {
		if (status.loading() || status.weightsDigest().isEmpty() || this.head.generation() == 0) {
			return false;
		}
		if (status.generation() > this.head.generation()) {
			return true;
		}
		return this.bundles.accepted()
			.filter((bundle) -> bundle.generation() == this.head.generation())
			.filter((bundle) -> bundle.weightsDigest().equals(status.weightsDigest()))
			.isPresent();
	}

	private void readEngineWhenDue(EventContext context) {
		if (context.now() >= this.nextReadNanos) {
			readEngine(context);
			return;
		}
		context.wakeAt(this.nextReadNanos);
	}

	private void readEngine(EventContext context) {
		if (!this.readInFlight) {
			this.readInFlight = true;
			this.lastReadNanos = context.now();
			context.add(new AgentEffect.ReadEngine());
		}
	}

	private enum Phase {

		STEADY, FETCHING, WAITING_FOR_SLOT, DRAINING, AWAITING_LOAD

	}

}
