package org.wisteriapost.policy.agent;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.policy.agent.SwitchSlots.Holder;

/**
 * Takes one of a place's switching slots in the platform, and gives it back.
 *
 * The object moves by conditional update, so two agents never take the last slot. A
 * holder is not timed out by the clock that wrote it: whoever waits watches its beat on
 * its own monotonic clock. One without a beat counts as lost (not ready, and not
 * switching) and is dropped once the VM list has dropped its VM.
 */
final class SlotHolder {

	// The more wait, the slower each looks: together a place looks about 40 times a
	// second
	// whatever its size, which ten places at today's limits can afford.
	private static final long POLL_NANOS_PER_VM = 25_000_000L;

	private static final long MIN_POLL_NANOS = 100_000_000L;

	private static final long CONFLICT_NANOS = 20_000_000L;

	private static final int MAX_CONFLICT_STEPS = 16;

	private static final long RETRY_NANOS = 500_000_000L;

	private final AgentIdentity self;

	private final AgentLimits limits;

	private final UniformRandomProvider random;

	private final Map<String, Seen> seen = new HashMap<>();

	private List<String> vms = List.of();

	private Step step = Step.FREE;

	private boolean busy;

	private int minReady;

	private boolean unready;

	private int conflicts;

	private long beat;

	private long lookAt;

	private SwitchSlots written = SwitchSlots.NONE;

	SlotHolder(AgentIdentity self, AgentLimits limits, UniformRandomProvider random) {
		this.self = self;
		this.limits = limits;
		this.random = random;
	}

	void peers(List<String> names) {
		this.vms = List.copyOf(names);
	}

	boolean taken() {
		return this.step == Step.TAKEN;
	}

	boolean free() {
		return this.step == Step.FREE;
	}

	/**
	 * Asks for a slot.
	 * @param alreadyUnready whether this runner takes no calls anyhow: then it need not
	 * wait, but is counted
	 */
	void want(int ready, boolean alreadyUnready, Turn turn) {
		this.minReady = ready;
		this.unready = alreadyUnready;
		if (this.step == Step.FREE || this.step == Step.RELEASING) {
			this.step = Step.WAITING;
			this.conflicts = 0;
			this.lookAt = turn.now();
		}
		advance(turn);
	}

	void release(Turn turn) {
		if (this.step == Step.FREE) {
			return;
		}
		if (this.step != Step.RELEASING) {
			this.step = Step.RELEASING;
			this.lookAt = turn.now();
		}
		advance(turn);
	}

	void advance(Turn turn) {
		if (this.step == Step.FREE || this.busy) {
			return;
		}
		if (turn.now() < this.lookAt) {
			turn.wakeAt(this.lookAt);
			return;
		}
		this.busy = true;
		turn.add(new AgentEffect.ReadObject(this.self.slotsKey()));
	}

	void read(Optional<StoredObject> stored, Turn turn) {
		this.busy = false;
		SwitchSlots slots = SwitchSlots.of(stored);
		watch(slots, turn.now());
		long version = stored.map(StoredObject::version).orElse(AgentEffect.WriteObject.ABSENT);
		switch (this.step) {
			case WAITING -> take(slots, version, turn);
			case TAKEN -> write(slots.with(own()), version, turn);
			case RELEASING -> drop(slots, version, turn);
			case FREE -> {
			}
		}
	}

	void written(Turn turn) {
		this.busy = false;
		this.conflicts = 0;
		boolean mine = this.written.holder(this.self.vm()).isPresent();
		if (this.step == Step.RELEASING && !mine) {
			this.step = Step.FREE;
			return;
		}
		if (this.step != Step.RELEASING && mine) {
			this.step = Step.TAKEN;
			this.lookAt = turn.now() + this.limits.slotExpiry().toNanos() / 3;
		}
	}

	/**
	 * Looks again after a write that did not certainly take effect.
	 */
	void unwritten(boolean conflict, Turn turn) {
		this.busy = false;
		this.conflicts = Math.min(this.conflicts + 1, MAX_CONFLICT_STEPS);
		this.lookAt = turn.now() + (conflict ? this.random.nextLong(CONFLICT_NANOS * this.conflicts) : RETRY_NANOS);
	}

	void unread(Turn turn) {
		this.busy = false;
		this.lookAt = turn.now() + RETRY_NANOS;
	}

	private void take(SwitchSlots slots, long version, Turn turn) {
		if (slots.holder(this.self.vm()).filter((own) -> own.nonce().equals(this.self.nonce())).isPresent()) {
			this.step = Step.TAKEN;
			this.lookAt = turn.now() + this.limits.slotExpiry().toNanos() / 3;
			return;
		}
		// Cleaned before it is counted: a VM that died while switching is in no list any
		// more,
		// and as one of the lost it would hold up a small place for good.
		SwitchSlots others = cleaned(slots.without(this.self.vm()), turn.now());
		int lost = (int) others.holders().stream().filter((one) -> lost(one, turn.now())).count();
		int limit = SwitchLimit.of(this.vms.size(), lost, this.minReady, this.limits.share());
		if (!this.unready && others.holders().size() - lost >= limit) {
			long pace = Math.max(MIN_POLL_NANOS, POLL_NANOS_PER_VM * this.vms.size());
			this.lookAt = turn.now() + pace / 2 + this.random.nextLong(pace);
			return;
		}
		write(others.with(own()), version, turn);
	}

	private void drop(SwitchSlots slots, long version, Turn turn) {
		if (slots.holder(this.self.vm()).isEmpty()) {
			this.step = Step.FREE;
			return;
		}
		write(slots.without(this.self.vm()), version, turn);
	}

	private void write(SwitchSlots slots, long version, Turn turn) {
		this.busy = true;
		this.written = slots;
		turn.add(new AgentEffect.WriteObject(this.self.slotsKey(), slots.encode(), version));
	}

	private Holder own() {
		this.beat++;
		return new Holder(this.self.vm(), this.self.nonce(), this.beat);
	}

	private void watch(SwitchSlots slots, long now) {
		this.seen.keySet().removeIf((vm) -> slots.holder(vm).isEmpty());
		for (Holder holder : slots.holders()) {
			Seen last = this.seen.get(holder.vm());
			if (last == null || !last.holder().equals(holder)) {
				this.seen.put(holder.vm(), new Seen(holder, now));
			}
		}
	}

	private boolean lost(Holder holder, long now) {
		Seen last = this.seen.get(holder.vm());
		return last != null && now - last.since() > this.limits.slotExpiry().toNanos();
	}

	private SwitchSlots cleaned(SwitchSlots slots, long now) {
		return new SwitchSlots(
				slots.holders().stream().filter((one) -> this.vms.contains(one.vm()) || !lost(one, now)).toList());
	}

	private enum Step {

		FREE, WAITING, TAKEN, RELEASING

	}

	private record Seen(Holder holder, long since) {
	}

}
