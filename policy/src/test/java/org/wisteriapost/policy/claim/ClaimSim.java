package org.wisteriapost.policy.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Claim tables of several entries on an in-memory store in simulated time. Confirmations
 * are delayed or lost, and writes whose confirmation is lost may take effect late or
 * never.
 */
final class ClaimSim {

	private static final long MILLI = 1_000_000;

	private final UniformRandomProvider random;

	private final List<ClaimTable> tables = new ArrayList<>();

	private final Map<String, StoredValue> store = new HashMap<>();

	private final List<ScheduledTask> scheduled = new ArrayList<>();

	private final List<DeliveredResult> results = new ArrayList<>();

	private double lossShare;

	private boolean down;

	private long now;

	private int storeCalls;

	private int writes;

	ClaimSim(int entries, long seed) {
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		for (int i = 0; i < entries; i++) {
			this.tables.add(ClaimTable.create(50, RandomSource.SPLIT_MIX_64.create(seed + i + 1), 0));
		}
	}

	ClaimTable table(int entry) {
		return this.tables.get(entry);
	}

	UniformRandomProvider random() {
		return this.random;
	}

	long now() {
		return this.now;
	}

	int storeCalls() {
		return this.storeCalls;
	}

	int storedObjects() {
		return this.store.size();
	}

	int writes() {
		return this.writes;
	}

	List<DeliveredResult> results() {
		return this.results;
	}

	void setLossShare(double lossShare) {
		this.lossShare = lossShare;
	}

	void setDown(boolean down) {
		this.down = down;
	}

	List<ClaimResult> resultsOf(long id) {
		return this.results.stream().map(DeliveredResult::result).filter((verdict) -> verdict.id() == id).toList();
	}

	void carryOut(int entry, List<ClaimEffect> effects) {
		for (ClaimEffect effect : effects) {
			switch (effect) {
				case ClaimEffect.Complete tell -> this.results.add(new DeliveredResult(entry, tell.result()));
				case ClaimEffect.Read read -> read(entry, read.object());
				case ClaimEffect.Write write -> write(entry, write);
			}
		}
	}

	/** Advances the simulated time. */
	void run(int millis) {
		for (int i = 0; i < millis; i++) {
			this.now += MILLI;
			List<ScheduledTask> due = this.scheduled.stream().filter((item) -> item.atNanos <= this.now).toList();
			this.scheduled.removeAll(due);
			due.forEach((item) -> item.task.run());
			if (i % 20 == 0) {
				for (int entry = 0; entry < this.tables.size(); entry++) {
					carryOut(entry, this.tables.get(entry).tick(this.now));
				}
			}
		}
	}

	private void read(int entry, String object) {
		this.storeCalls++;
		schedule(() -> {
			if (this.down) {
				carryOut(entry, table(entry).onFailure(object, false, this.now));
				return;
			}
			deliverValue(entry, object, false);
		});
	}

	private void write(int entry, ClaimEffect.Write write) {
		this.storeCalls++;
		this.writes++;
		schedule(() -> {
			if (this.down) {
				carryOut(entry, table(entry).onFailure(write.object(), false, this.now));
			}
			else if (this.random.nextDouble() < this.lossShare) {
				loseConfirmation(entry, write);
			}
			else if (apply(write)) {
				long version = this.store.get(write.object()).version;
				schedule(() -> carryOut(entry, table(entry).onWritten(write.object(), version, this.now)));
			}
			else {
				schedule(() -> deliverValue(entry, write.object(), true));
			}
		});
	}

	// The write takes effect before its confirmation is lost, some time after, or never.
	private void loseConfirmation(int entry, ClaimEffect.Write write) {
		int when = this.random.nextInt(3);
		if (when == 0) {
			apply(write);
		}
		carryOut(entry, table(entry).onFailure(write.object(), true, this.now));
		if (when == 1) {
			schedule(() -> apply(write));
		}
	}

	private boolean apply(ClaimEffect.Write write) {
		StoredValue current = this.store.getOrDefault(write.object(), new StoredValue(null, 0));
		if (current.version != write.version()) {
			return false;
		}
		this.store.put(write.object(), new StoredValue(write.value(), current.version + 1));
		return true;
	}

	private void deliverValue(int entry, String object, boolean conflict) {
		Optional<StoredValue> value = Optional.ofNullable(this.store.get(object));
		carryOut(entry, table(entry).onRead(object, value.map((item) -> item.bytes),
				value.map((item) -> item.version).orElse(0L), conflict, this.now));
	}

	private void schedule(Runnable task) {
		this.scheduled.add(new ScheduledTask(this.now + MILLI * (1 + this.random.nextInt(5)), task));
	}

	record DeliveredResult(int entry, ClaimResult result) {
	}

	private record StoredValue(byte[] bytes, long version) {
	}

	private record ScheduledTask(long atNanos, Runnable task) {
	}

}
