package org.wisteriapost.policy.agent;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.agent.SwitchSlots.Holder;

/**
 * Acquires and releases one of the slots in the platform that limit how many runners of a
 * failure domain switch weights at once.
 *
 * The slots are one object that is changed by conditional update, so two agents never
 * acquire the last slot. A waiting agent detects an unresponsive holder by observing its
 * heartbeat on its own monotonic clock, without comparing clocks between VMs. An
 * unresponsive holder counts as not ready instead of switching, and is removed once its
 * VM is no longer in the VM list.
 */
final class SwitchSlotClient {

	// The polling interval grows with the number of VMs, so that the waiting agents of
	// a failure domain together read about 40 times a second, whatever its size. This
	// keeps ten failure domains within the request limit of the platform.
	private static final long POLL_INTERVAL_PER_VM_NANOS = 25_000_000L;

	private static final long MIN_POLL_INTERVAL_NANOS = 100_000_000L;

	private static final long CONFLICT_BACKOFF_NANOS = 20_000_000L;

	private static final int MAX_BACKOFF_STEPS = 16;

	private static final long RETRY_DELAY_NANOS = 500_000_000L;

	private final AgentIdentity identity;

	private final AgentLimits limits;

	private final UniformRandomProvider random;

	private final Map<String, Observation> observations = new HashMap<>();

	private List<String> liveVms = List.of();

	private State state = State.IDLE;

	private boolean requestInFlight;

	private int minReady;

	private boolean alreadyUnready;

	private int conflicts;

	private long heartbeat;

	private long nextReadNanos;

	private SwitchSlots pendingWrite = SwitchSlots.NONE;

	SwitchSlotClient(AgentIdentity identity, AgentLimits limits, UniformRandomProvider random) {
		this.identity = identity;
		this.limits = limits;
		this.random = random;
	}

	void updatePeers(List<String> names) {
		this.liveVms = List.copyOf(names);
	}

	boolean held() {
		return this.state == State.HELD;
	}

	boolean idle() {
		return this.state == State.IDLE;
	}

	/**
	 * Requests a slot.
	 * @param requiredReady number of runners that must stay ready
	 * @param unready whether this runner accepts no calls anyway: then it does not wait
	 * for a free slot, but is counted as a holder
	 */
	void acquire(int requiredReady, boolean unready, EventContext context) {
		this.minReady = requiredReady;
		this.alreadyUnready = unready;
		if (this.state == State.IDLE || this.state == State.RELEASING) {
			this.state = State.ACQUIRING;
			this.conflicts = 0;
			this.nextReadNanos = context.now();
		}
		advance(context);
	}

	void release(EventContext context) {
		if (this.state == State.IDLE) {
			return;
		}
		if (this.state != State.RELEASING) {
			this.state = State.RELEASING;
			this.nextReadNanos = context.now();
		}
		advance(context);
	}

	void advance(EventContext context) {
		if (this.state == State.IDLE || this.requestInFlight) {
			return;
		}
		if (context.now() < this.nextReadNanos) {
			context.wakeAt(this.nextReadNanos);
			return;
		}
		this.requestInFlight = true;
		context.add(new AgentEffect.ReadObject(this.identity.slotsKey()));
	}

	void read(Optional<StoredObject> stored, EventContext context) {
		this.requestInFlight = false;
		SwitchSlots slots = SwitchSlots.of(stored);
		observe(slots, context.now());
		long version = stored.map(StoredObject::version).orElse(AgentEffect.WriteObject.ABSENT);
		switch (this.state) {
			case ACQUIRING -> tryAcquire(slots, version, context);
			case HELD -> write(slots.with(nextHeartbeat()), version, context);
			case RELEASING -> removeSelf(slots, version, context);
			case IDLE -> {
			}
		}
	}

	void written(EventContext context) {
		this.requestInFlight = false;
		this.conflicts = 0;
		boolean holding = this.pendingWrite.holder(this.identity.vm()).isPresent();
		if (this.state == State.RELEASING && !holding) {
			this.state = State.IDLE;
			return;
		}
		if (this.state != State.RELEASING && holding) {
			this.state = State.HELD;
			this.nextReadNanos = context.now() + this.limits.slotExpiry().toNanos() / 3;
		}
	}

	/**
	 * Schedules another read after a write that was not confirmed.
	 */
	void writeFailed(boolean conflict, EventContext context) {
		this.requestInFlight = false;
		this.conflicts = Math.min(this.conflicts + 1, MAX_BACKOFF_STEPS);
		this.nextReadNanos = context.now()
				+ (conflict ? this.random.nextLong(CONFLICT_BACKOFF_NANOS * this.conflicts) : RETRY_DELAY_NANOS);
	}

	void readFailed(EventContext context) {
		this.requestInFlight = false;
		this.nextReadNanos = context.now() + RETRY_DELAY_NANOS;
	}

	private void tryAcquire(SwitchSlots slots, long version, EventContext context) {
		if (slots.holder(this.identity.vm()).filter((own) -> own.nonce().equals(this.identity.nonce())).isPresent()) {
			this.state = State.HELD;
			this.nextReadNanos = context.now() + this.limits.slotExpiry().toNanos() / 3;
			return;
		}
		// Holders whose VMs were removed are deleted before counting: a VM that failed
		// during its switch would otherwise count as unresponsive forever and block all
		// switches in a small failure domain.
		SwitchSlots others = withoutRemovedVms(slots.without(this.identity.vm()), context.now());
		int unresponsive = (int) others.holders().stream().filter((one) -> unresponsive(one, context.now())).count();
		int limit = SwitchLimit.of(this.liveVms.size(), unresponsive, this.minReady, this.limits.maxSwitchingShare());
		if (!this.alreadyUnready && others.holders().size() - unresponsive >= limit) {
			long interval = Math.max(MIN_POLL_INTERVAL_NANOS, POLL_INTERVAL_PER_VM_NANOS * this.liveVms.size());
			this.nextReadNanos = context.now() + interval / 2 + this.random.nextLong(interval);
			return;
		}
		write(others.with(nextHeartbeat()), version, context);
	}

	private void removeSelf(SwitchSlots slots, long version, EventContext context) {
		if (slots.holder(this.identity.vm()).isEmpty()) {
			this.state = State.IDLE;
			return;
		}
		write(slots.without(this.identity.vm()), version, context);
	}

	private void write(SwitchSlots slots, long version, EventContext context) {
		this.requestInFlight = true;
		this.pendingWrite = slots;
		context.add(new AgentEffect.WriteObject(this.identity.slotsKey(), slots.encode(), version));
	}

	private Holder nextHeartbeat() {
		this.heartbeat++;
		return new Holder(this.identity.vm(), this.identity.nonce(), this.heartbeat);
	}

	private void observe(SwitchSlots slots, long now) {
		this.observations.keySet().removeIf((vm) -> slots.holder(vm).isEmpty());
		for (Holder holder : slots.holders()) {
			Observation last = this.observations.get(holder.vm());
			if (last == null || !last.holder().equals(holder)) {
				this.observations.put(holder.vm(), new Observation(holder, now));
			}
		}
	}

	private boolean unresponsive(Holder holder, long now) {
		Observation last = this.observations.get(holder.vm());
		return last != null && now - last.sinceNanos() > this.limits.slotExpiry().toNanos();
	}

	private SwitchSlots withoutRemovedVms(SwitchSlots slots, long now) {
		return new SwitchSlots(slots.holders()
			.stream()
			.filter((one) -> this.liveVms.contains(one.vm()) || !unresponsive(one, now))
			.toList());
	}

	private enum State {

		IDLE, ACQUIRING, HELD, RELEASING

	}

	private record Observation(Holder holder, long sinceNanos) {
	}

}
