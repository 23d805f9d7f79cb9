package org.wisteriapost.policy.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Some entries' claim tables on one store in memory, with simulated time: answers are
 * delayed, lost, and lost writes may take effect late.
 */
final class ClaimSim {

	private static final long MILLI = 1_000_000;

	private final UniformRandomProvider random;

	private final List<ClaimTable> tables = new ArrayList<>();

	private final Map<String, Value> store = new HashMap<>();

	private final List<Later> later = new ArrayList<>();

	private final List<Told> told = new ArrayList<>();

	private double lossShare;

	private boolean down;

	private long now;

	private int calls;

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

	int calls() {
		return this.calls;
	}

	int stored() {
		return this.store.size();
	}

	int writes() {
		return this.writes;
	}

	List<Told> told() {
		return this.told;
	}

	void loses(double share) {
		this.lossShare = share;
	}

	void down(boolean now) {
		this.down = now;
	}

	/** Returns the verdicts on one call. */
	List<ClaimVerdict> verdicts(long id) {
		return this.told.stream().map(Told::verdict).filter((verdict) -> verdict.id() == id).toList();
	}

	void carryOut(int entry, List<ClaimEffect> effects) {
		for (ClaimEffect effect : effects) {
			switch (effect) {
				case ClaimEffect.Tell tell -> this.told.add(new Told(entry, tell.verdict()));
				case ClaimEffect.Read read -> read(entry, read.object());
				case ClaimEffect.Write write -> write(entry, write);
			}
		}
	}

	/** Runs for some simulated milliseconds. */
	void run(int millis) {
		for (int i = 0; i < millis; i++) {
			this.now += MILLI;
			List<Later> due = this.later.stream().filter((one) -> one.atNanos <= this.now).toList();
			this.later.removeAll(due);
			due.forEach((one) -> one.task.run());
			if (i % 20 == 0) {
				for (int entry = 0; entry < this.tables.size(); entry++) {
					carryOut(entry, this.tables.get(entry).tick(this.now));
				}
			}
		}
	}

	private void read(int entry, String object) {
		this.calls++;
		after(() -> {
			if (this.down) {
				carryOut(entry, table(entry).failed(object, false, this.now));
				return;
			}
			found(entry, object, false);
		});
	}

	private void write(int entry, ClaimEffect.Write write) {
		this.calls++;
		this.writes++;
		after(() -> {
			if (this.down) {
				carryOut(entry, table(entry).failed(write.object(), false, this.now));
			}
			else if (this.random.nextDouble() < this.lossShare) {
				lose(entry, write);
			}
			else if (apply(write)) {
				long version = this.store.get(write.object()).version;
				after(() -> carryOut(entry, table(entry).written(write.object(), version, this.now)));
			}
			else {
				after(() -> found(entry, write.object(), true));
			}
		});
	}

	// Takes effect before its answer is lost, some time after, or never.
	private void lose(int entry, ClaimEffect.Write write) {
		int when = this.random.nextInt(3);
		if (when == 0) {
			apply(write);
		}
		carryOut(entry, table(entry).failed(write.object(), true, this.now));
		if (when == 1) {
			after(() -> apply(write));
		}
	}

	private boolean apply(ClaimEffect.Write write) {
		Value current = this.store.getOrDefault(write.object(), new Value(null, 0));
		if (current.version != write.version()) {
			return false;
		}
		this.store.put(write.object(), new Value(write.value(), current.version + 1));
		return true;
	}

	private void found(int entry, String object, boolean conflict) {
		Optional<Value> value = Optional.ofNullable(this.store.get(object));
		carryOut(entry, table(entry).read(object, value.map((one) -> one.bytes),
				value.map((one) -> one.version).orElse(0L), conflict, this.now));
	}

	private void after(Runnable task) {
		this.later.add(new Later(this.now + MILLI * (1 + this.random.nextInt(5)), task));
	}

	record Told(int entry, ClaimVerdict verdict) {
	}

	private record Value(byte[] bytes, long version) {
	}

	private record Later(long atNanos, Runnable task) {
	}

}
