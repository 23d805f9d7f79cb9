package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * The orders to one engine to take staged weights, and what is known of them.
 *
 * The engine takes the staged weights when it accepts an order. Once it has answered, it
 * has its copy and the next version may be staged. An order without an answer stays
 * pending, see {@link PendingOrder}.
 *
 * When a report shows that a pending order was accepted, the staged chunks may have been
 * corrupted between their verification and that time. The copy is unconfirmed until they
 * are verified again. If they are corrupt then, the engine counts as one without weights
 * until it takes another version or restarts.
 */
final class EngineOrders {

	private static final long TAKE_TIMEOUT_NANOS = Duration.ofSeconds(6).toNanos();

	private RunnerIncarnation incarnation = RunnerIncarnation.UNKNOWN;

	private long acceptedCount;

	private Optional<PendingOrder> sent = Optional.empty();

	private Optional<PendingOrder> pending = Optional.empty();

	private OptionalInt unconfirmed = OptionalInt.empty();

	private OptionalInt distrusted = OptionalInt.empty();

	private OptionalInt taking = OptionalInt.empty();

	private long takingNanos;

	/**
	 * Returns how many orders the engine has accepted since its start, by its last
	 * report.
	 */
	long acceptedCount() {
		return this.acceptedCount;
	}

	/**
	 * Returns the incarnation of the engine, by its last report.
	 */
	RunnerIncarnation incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns the version that the engine has accepted and does not serve yet.
	 */
	OptionalInt taking() {
		return this.taking;
	}

	/**
	 * Returns the version of the order that the engine has not answered and may still
	 * accept. Only that version may be staged.
	 */
	OptionalInt pendingVersion() {
		return this.pending.isPresent() ? OptionalInt.of(this.pending.get().version()) : OptionalInt.empty();
	}

	/**
	 * Returns the version that the engine accepted at an unknown time. Only that version
	 * may be staged until {@link #confirmed}.
	 */
	OptionalInt unconfirmed() {
		return this.unconfirmed;
	}

	/**
	 * Records whether the staged chunks of the unconfirmed version are still valid.
	 */
	void confirmed(boolean valid) {
		this.distrusted = valid ? OptionalInt.empty() : this.unconfirmed;
		this.unconfirmed = OptionalInt.empty();
	}

	/**
	 * Returns whether the engine has taken a copy of a version that may be corrupt.
	 */
	boolean distrusts(OptionalInt version) {
		return version.isPresent() && version.equals(this.distrusted);
	}

	/**
	 * Returns whether every order is settled, confirmed and carried out.
	 */
	boolean settled() {
		return this.taking.isEmpty() && this.pending.isEmpty() && this.unconfirmed.isEmpty();
	}

	/**
	 * Records that an order is sent, with the number of accepted orders as its
	 * precondition.
	 */
	void sent(int version) {
		this.sent = Optional.of(new PendingOrder(version, this.acceptedCount, this.incarnation));
	}

	/**
	 * Records how the call of the latest order ended.
	 * @param held the version that the engine holds
	 */
	void answered(OrderOutcome outcome, OptionalInt held, long nowNanos) {
		switch (outcome) {
			case ACCEPTED -> {
				// An earlier order had the same precondition, which no longer holds.
				this.pending = Optional.empty();
				this.sent.ifPresent((order) -> accepted(order.version(), nowNanos));
			}
			case REFUSED -> {
				// An earlier order stays pending.
			}
			case UNKNOWN -> {
				this.pending = this.pending.or(() -> this.sent);
				settlePending(held, nowNanos);
			}
		}
		this.sent = Optional.empty();
	}

	/**
	 * Returns whether a report comes from an earlier incarnation than the last one.
	 */
	boolean outdated(RunnerIncarnation reportedBy) {
		return reportedBy.precedes(this.incarnation);
	}

	/**
	 * Handles the engine's report. An order that was being carried out is lost when the
	 * engine restarts, which its start time shows, or else an order count that has
	 * fallen.
	 */
	void reported(OptionalInt held, boolean busy, long count, RunnerIncarnation reportedBy, long nowNanos) {
		if (this.incarnation.precedes(reportedBy) || count < this.acceptedCount) {
			this.taking = OptionalInt.empty();
			this.unconfirmed = OptionalInt.empty();
			this.distrusted = OptionalInt.empty();
		}
		if (held.isPresent() && !distrusts(held)) {
			this.distrusted = OptionalInt.empty();
		}
		this.incarnation = reportedBy;
		this.acceptedCount = count;
		settlePending(held, nowNanos);
		if (!busy && this.taking.isPresent() && held.equals(this.taking)) {
			this.taking = OptionalInt.empty();
		}
	}

	private void settlePending(OptionalInt held, long nowNanos) {
		Optional<PendingOrder> order = this.pending
			.filter((open) -> open.settledBy(this.acceptedCount, this.incarnation));
		if (order.isEmpty()) {
			return;
		}
		this.pending = Optional.empty();
		if (order.get().lostWith(this.acceptedCount, this.incarnation)) {
			return;
		}
		int version = order.get().version();
		this.unconfirmed = OptionalInt.of(version);
		if (!held.equals(this.unconfirmed)) {
			accepted(version, nowNanos);
		}
	}

	private void accepted(int version, long nowNanos) {
		this.taking = OptionalInt.of(version);
		this.takingNanos = nowNanos;
	}

	/**
	 * Gives up waiting for an engine that does not carry out an accepted order.
	 */
	void tick(long nowNanos) {
		if (this.taking.isPresent() && nowNanos - this.takingNanos > TAKE_TIMEOUT_NANOS) {
			this.taking = OptionalInt.empty();
		}
	}

	/**
	 * Returns when {@link #tick} is due next.
	 */
	long nextNanos() {
		return this.taking.isPresent() ? this.takingNanos + TAKE_TIMEOUT_NANOS : Long.MAX_VALUE;
	}

}
