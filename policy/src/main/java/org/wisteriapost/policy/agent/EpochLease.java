package org.wisteriapost.policy.agent;

import java.util.Optional;
import java.util.OptionalLong;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.bundle.BundleCodec;

/**
 * The agent's authority to send orders to its engine: an epoch, acquired once at startup
 * by conditional update of the VM's object in the platform, and a lease, renewed by
 * reading that object again.
 *
 * A renewal is a single read, made only when an order is about to be sent: periodic
 * writes by 6,400 agents would exceed the several hundred writes a second that the
 * platform accepts. The read proves that no newer agent had acquired the epoch when it
 * was sent, and a newer agent waits for longer than a lease before its first order. So
 * two agents of a VM are never allowed to send orders at the same time, without comparing
 * clocks between processes.
 */
final class EpochLease {

	static final Code REPLACED = Code.error("agent-replaced",
			"A newer agent has taken this VM's epoch; this one stops for good.");

	private static final long RETRY_DELAY_NANOS = 1_000_000_000L;

	private final AgentIdentity identity;

	private final long leaseDurationNanos;

	private State state = State.READING;

	private long epoch;

	private long ordersAllowedFromNanos;

	private long renewedNanos;

	private boolean renewed;

	private boolean readInFlight;

	private long nextReadNanos = Long.MAX_VALUE;

	EpochLease(AgentIdentity identity, AgentLimits limits) {
		this.identity = identity;
		this.leaseDurationNanos = limits.leaseDuration().toNanos();
	}

	void start(EventContext context) {
		readLease(context);
	}

	OptionalLong epoch() {
		return (this.state == State.HELD) ? OptionalLong.of(this.epoch) : OptionalLong.empty();
	}

	boolean replaced() {
		return this.state == State.REPLACED;
	}

	/**
	 * Returns the time until which an order may be sent. When none may be sent now,
	 * requests a renewal or a later tick and returns empty.
	 */
	OptionalLong orderDeadline(EventContext context) {
		if (this.state != State.HELD) {
			return OptionalLong.empty();
		}
		if (context.now() < this.ordersAllowedFromNanos) {
			context.wakeAt(this.ordersAllowedFromNanos);
			return OptionalLong.empty();
		}
		// After a pause of the process (stop signal, VM migration) the lease may have
		// expired unnoticed. Its age counts from before the read was sent, so a pause
		// at any point can only make the lease expire earlier.
		if (this.renewed && context.now() - this.renewedNanos < this.leaseDurationNanos / 2) {
			return OptionalLong.of(this.renewedNanos + this.leaseDurationNanos);
		}
		readLease(context);
		return OptionalLong.empty();
	}

	void invalidate() {
		this.renewed = false;
	}

	void read(AgentEvent.ObjectRead event, EventContext context) {
		this.readInFlight = false;
		Optional<VmLease> found = event.value().map((stored) -> BundleCodec.decode(stored.value(), VmLease.class));
		boolean own = found.filter((lease) -> lease.nonce().equals(this.identity.nonce())).isPresent();
		if (this.state == State.HELD) {
			renew(own, event.sentNanos());
			return;
		}
		if (this.state == State.REPLACED) {
			return;
		}
		if (own) {
			acquired(found.get().epoch(), context);
			return;
		}
		long last = found.map(VmLease::epoch).orElse(0L);
		long version = event.value().map(StoredObject::version).orElse(AgentEffect.WriteObject.ABSENT);
		this.state = State.WRITING;
		this.epoch = last + 1;
		context.add(new AgentEffect.WriteObject(this.identity.leaseKey(),
				BundleCodec.encode(new VmLease(this.epoch, this.identity.nonce())), version));
	}

	void readFailed(EventContext context) {
		this.readInFlight = false;
		scheduleRetry(context);
	}

	void written(EventContext context) {
		if (this.state == State.WRITING) {
			acquired(this.epoch, context);
		}
	}

	/**
	 * Reads the object again after a write that was not confirmed. Its nonce shows whose
	 * write took effect; assuming either outcome could give two agents the same epoch, or
	 * leave the VM without an agent that holds its epoch.
	 */
	void writeFailed(boolean conflict, EventContext context) {
		if (this.state != State.WRITING) {
			return;
		}
		this.state = State.READING;
		if (conflict) {
			readLease(context);
			return;
		}
		scheduleRetry(context);
	}

	void tick(EventContext context) {
		if (context.now() >= this.nextReadNanos) {
			this.nextReadNanos = Long.MAX_VALUE;
			readLease(context);
		}
	}

	private void renew(boolean own, long sentNanos) {
		if (!own) {
			this.state = State.REPLACED;
			return;
		}
		this.renewed = true;
		this.renewedNanos = sentNanos;
	}

	private void acquired(long acquiredEpoch, EventContext context) {
		this.state = State.HELD;
		this.epoch = acquiredEpoch;
		// The previous agent may have renewed its lease just before this epoch was
		// acquired. It may send orders for up to a whole lease after that; the
		// additional quarter covers an order that is still in flight.
		this.ordersAllowedFromNanos = (acquiredEpoch == 1) ? context.now()
				: context.now() + this.leaseDurationNanos + this.leaseDurationNanos / 4;
	}

	private void readLease(EventContext context) {
		if (!this.readInFlight) {
			this.readInFlight = true;
			context.add(new AgentEffect.ReadObject(this.identity.leaseKey()));
		}
	}

	private void scheduleRetry(EventContext context) {
		this.nextReadNanos = context.now() + RETRY_DELAY_NANOS;
	}

	private enum State {

		READING, WRITING, HELD, REPLACED

	}

	/**
	 * The value of {@code vms/VM}.
	 *
	 * @param epoch number of agents that have started on the VM
	 * @param nonce nonce of the most recent one
	 */
	record VmLease(long epoch, String nonce) {
	}

}
