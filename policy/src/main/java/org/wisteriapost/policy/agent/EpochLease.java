package org.wisteriapost.policy.agent;

import java.util.Optional;
import java.util.OptionalLong;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.bundle.BundleCodec;

/**
 * The agent's authority over its engine: an epoch taken once at the start by conditional
 * update of the VM's own object, and a lease that is renewed by looking at the object
 * again.
 *
 * A renewal is one read, made only when an order is about to be sent: 6,400 agents that
 * wrote every few seconds would alone pass the platform's several hundred writes a
 * second. A read proves that no newer agent had taken the VM when it was sent; a newer
 * one that takes it later waits a whole lease before its first order. So at no moment may
 * both send one, without comparing clocks of two processes.
 */
final class EpochLease {

	static final Code REPLACED = Code.error("agent-replaced",
			"A newer agent has taken this VM's epoch; this one stops for good.");

	private static final long RETRY_NANOS = 1_000_000_000L;

	private final AgentIdentity self;

	private final long leaseNanos;

	private Step step = Step.READING;

	private long epoch;

	private long ordersFrom;

	private long renewedAt;

	private boolean renewed;

	private boolean reading;

	private long retryAt = Long.MAX_VALUE;

	EpochLease(AgentIdentity self, AgentLimits limits) {
		this.self = self;
		this.leaseNanos = limits.lease().toNanos();
	}

	void start(Turn turn) {
		look(turn);
	}

	OptionalLong epoch() {
		return (this.step == Step.HELD) ? OptionalLong.of(this.epoch) : OptionalLong.empty();
	}

	boolean lost() {
		return this.step == Step.LOST;
	}

	/**
	 * Returns until when an order may be sent; asks for a renewal when it may not now.
	 */
	OptionalLong orderUntil(Turn turn) {
		if (this.step != Step.HELD) {
			return OptionalLong.empty();
		}
		if (turn.now() < this.ordersFrom) {
			turn.wakeAt(this.ordersFrom);
			return OptionalLong.empty();
		}
		// A holder that was paused (stop signal, VM migration) wakes with a lease that
		// looks
		// held. The age is counted from before the read was sent, so a pause anywhere in
		// between makes it older, never younger.
		if (this.renewed && turn.now() - this.renewedAt < this.leaseNanos / 2) {
			return OptionalLong.of(this.renewedAt + this.leaseNanos);
		}
		look(turn);
		return OptionalLong.empty();
	}

	void lapse() {
		this.renewed = false;
	}

	void read(AgentEvent.ObjectRead event, Turn turn) {
		this.reading = false;
		Optional<VmLease> found = event.value().map((stored) -> BundleCodec.decode(stored.value(), VmLease.class));
		boolean own = found.filter((lease) -> lease.nonce().equals(this.self.nonce())).isPresent();
		if (this.step == Step.HELD) {
			confirm(own, event.sentNanos());
			return;
		}
		if (this.step == Step.LOST) {
			return;
		}
		if (own) {
			hold(found.get().epoch(), turn);
			return;
		}
		long last = found.map(VmLease::epoch).orElse(0L);
		long version = event.value().map(StoredObject::version).orElse(AgentEffect.WriteObject.ABSENT);
		this.step = Step.WRITING;
		this.epoch = last + 1;
		turn.add(new AgentEffect.WriteObject(this.self.leaseKey(),
				BundleCodec.encode(new VmLease(this.epoch, this.self.nonce())), version));
	}

	void unread(Turn turn) {
		this.reading = false;
		retry(turn);
	}

	void written(Turn turn) {
		if (this.step == Step.WRITING) {
			hold(this.epoch, turn);
		}
	}

	/**
	 * Reads back after a write that did not certainly take effect: the nonce says whose
	 * write is there. Guessing would give two agents one epoch, or none.
	 */
	void unwritten(boolean conflict, Turn turn) {
		if (this.step != Step.WRITING) {
			return;
		}
		this.step = Step.READING;
		if (conflict) {
			look(turn);
			return;
		}
		retry(turn);
	}

	void tick(Turn turn) {
		if (turn.now() >= this.retryAt) {
			this.retryAt = Long.MAX_VALUE;
			look(turn);
		}
	}

	private void confirm(boolean own, long sentNanos) {
		if (!own) {
			this.step = Step.LOST;
			return;
		}
		this.renewed = true;
		this.renewedAt = sentNanos;
	}

	private void hold(long taken, Turn turn) {
		this.step = Step.HELD;
		this.epoch = taken;
		// The agent before this one may have renewed a moment before its epoch was taken.
		// Its orders are over after a whole lease; a quarter more covers one on its way.
		this.ordersFrom = (taken == 1) ? turn.now() : turn.now() + this.leaseNanos + this.leaseNanos / 4;
	}

	private void look(Turn turn) {
		if (!this.reading) {
			this.reading = true;
			turn.add(new AgentEffect.ReadObject(this.self.leaseKey()));
		}
	}

	private void retry(Turn turn) {
		this.retryAt = turn.now() + RETRY_NANOS;
	}

	private enum Step {

		READING, WRITING, HELD, LOST

	}

	/**
	 * The value of {@code vms/VM}.
	 *
	 * @param epoch how many agents have started on the VM
	 * @param nonce of the latest
	 */
	record VmLease(long epoch, String nonce) {
	}

}
