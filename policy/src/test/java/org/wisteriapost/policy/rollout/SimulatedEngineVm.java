package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;

import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * A rollout with an engine and its staging memory, in virtual time. Orders and their
 * answers are lost or late, the engine crashes, staged chunks are corrupted, the agent is
 * paused, and versions are published one shortly after the other. It records each copy
 * that the engine takes with a chunk that is missing, of another version, or that was
 * already corrupt {@link #MAX_CORRUPTION_MILLIS} before.
 */
final class SimulatedEngineVm {

	static final long MAX_CORRUPTION_MILLIS = 3000;

	private static final int CHUNKS = 8;

	private static final long TICK_MILLIS = 50;

	private static final long LOAD_MILLIS = 300;

	private static final long ORDER_TIMEOUT_MILLIS = 400;

	private static final long MIN_RESTART_MILLIS = 200;

	private static final long MAX_RESTART_MILLIS = 3000;

	private final Rollout rollout = Rollout.create(Duration.ofSeconds(8));

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Random random;

	private final Faults faults;

	private final List<String> badCopies = new ArrayList<>();

	private final List<String> usedBadCopies = new ArrayList<>();

	private final int[] staged = new int[CHUNKS];

	private final long[] corruptSince = new long[CHUNKS];

	private long now = 1_000_000;

	private long eventCount;

	private int held;

	private boolean heldBad;

	private int loading;

	private long sequence;

	private int incarnation;

	private int target;

	private int fetchNumber;

	private int verificationNumber;

	private long pausedUntil;

	private long downUntil;

	private SimulatedEngineVm(long seed, Faults faults) {
		this.random = new Random(seed);
		this.faults = faults;
		Arrays.fill(this.corruptSince, Long.MAX_VALUE);
	}

	/**
	 * Runs one simulation.
	 */
	static SimulatedEngineVm run(long seed, Faults faults, Duration length) {
		SimulatedEngineVm vm = new SimulatedEngineVm(seed, faults);
		long end = vm.now + length.toMillis();
		vm.everyTick();
		vm.publishVersions(end);
		vm.injectFaults(end);
		while (vm.now < end + 20_000) {
			Event next = vm.events.poll();
			vm.now = next.at;
			next.task.run();
		}
		return vm;
	}

	List<String> badCopies() {
		return this.badCopies;
	}

	/**
	 * Returns the bad copies that entries were told to use.
	 */
	List<String> usedBadCopies() {
		return this.usedBadCopies;
	}

	/**
	 * Returns whether the engine holds the newest version.
	 */
	boolean holdsTarget() {
		return this.held == this.target;
	}

	private void everyTick() {
		agent(() -> this.rollout.tick(nanos()));
		after(TICK_MILLIS, this::everyTick);
	}

	private void publishVersions(long end) {
		for (long at = 500; this.now + at < end; at += 1500 + this.random.nextInt(6000)) {
			after(at, () -> {
				this.target++;
				int version = this.target;
				agent(() -> this.rollout.setTarget(version, nanos()));
			});
		}
	}

	private void injectFaults(long end) {
		for (long at = 0; this.now + at < end; at += 1000) {
			if (happens(this.faults.crash)) {
				after(at + this.random.nextInt(1000), this::crash);
			}
			if (happens(this.faults.corruption)) {
				after(at + this.random.nextInt(1000), this::corrupt);
			}
			if (happens(this.faults.pause)) {
				after(at + this.random.nextInt(1000), () -> this.pausedUntil = this.now + this.random.nextInt(5000));
			}
		}
	}

	private void crash() {
		this.incarnation++;
		this.held = 0;
		this.loading = 0;
		this.sequence = 0;
		this.downUntil = this.now + MIN_RESTART_MILLIS + this.random.nextLong(MAX_RESTART_MILLIS - MIN_RESTART_MILLIS);
	}

	private boolean down() {
		return this.now < this.downUntil;
	}

	private void corrupt() {
		int chunk = this.random.nextInt(CHUNKS);
		this.corruptSince[chunk] = Math.min(this.corruptSince[chunk], this.now);
	}

	// Runs a task of the agent, after its pause if it is paused.
	private void agent(Runnable task) {
		if (this.now < this.pausedUntil) {
			after(this.pausedUntil - this.now, () -> agent(task));
			return;
		}
		task.run();
		this.rollout.drain().forEach(this::execute);
	}

	private void execute(RolloutEffect effect) {
		switch (effect) {
			case RolloutEffect.ReadReport read -> readReport();
			case RolloutEffect.Fetch fetch -> fetch(fetch.version());
			case RolloutEffect.Abandon abandon -> this.fetchNumber++;
			case RolloutEffect.Verify verify -> {
				this.verificationNumber++;
				verify(verify.version(), this.verificationNumber, 0, true);
			}
			case RolloutEffect.Take take -> order(take.version(), take.sequence());
			case RolloutEffect.PublishStatus status -> checkPublished(status.status());
		}
	}

	private void checkPublished(EngineStatus status) {
		boolean serving = !status.switching() && status.weightsVersion().equals(OptionalInt.of(this.held));
		if (serving && this.heldBad) {
			this.usedBadCopies.add("version " + this.held + " at " + this.now + " ms");
		}
	}

	private void readReport() {
		if (down()) {
			after(2, () -> agent(() -> this.rollout.reportFailed(nanos())));
			return;
		}
		OptionalInt version = (this.held > 0 && this.loading == 0) ? OptionalInt.of(this.held) : OptionalInt.empty();
		boolean busy = this.loading > 0;
		long count = this.sequence;
		RunnerIncarnation by = this.faults.namesIncarnation ? RunnerIncarnation.startedAt(this.incarnation)
				: RunnerIncarnation.UNKNOWN;
		after(2, () -> agent(() -> this.rollout.reportReceived(version, busy, count, by, nanos())));
	}

	// Chunks that are staged already are read back first.
	private void fetch(int version) {
		this.fetchNumber++;
		int number = this.fetchNumber;
		after(20, () -> agent(() -> fetchChunk(version, number, 0)));
	}

	private void fetchChunk(int version, int number, int chunk) {
		if (number != this.fetchNumber) {
			return;
		}
		if (chunk == CHUNKS) {
			this.rollout.fetchEnded(version, true, nanos());
			return;
		}
		long millis = isValid(version, chunk) ? 10 : 50 + this.random.nextInt(400);
		after(millis, () -> agent(() -> {
			if (number == this.fetchNumber && down()) {
				fetchChunk(version, number, chunk);
			}
			else if (number == this.fetchNumber) {
				this.staged[chunk] = version;
				this.corruptSince[chunk] = Long.MAX_VALUE;
				this.rollout.fetchProgressed((chunk + 1.0) / CHUNKS, nanos());
				fetchChunk(version, number, chunk + 1);
			}
		}));
	}

	private boolean isValid(int version, int chunk) {
		return this.staged[chunk] == version && this.corruptSince[chunk] == Long.MAX_VALUE;
	}

	private void verify(int version, int number, int chunk, boolean validSoFar) {
		if (number != this.verificationNumber) {
			return;
		}
		if (chunk == CHUNKS) {
			this.rollout.verificationEnded(version, validSoFar, nanos());
			return;
		}
		boolean valid = validSoFar && !down() && isValid(version, chunk);
		after(10 + this.random.nextInt(40), () -> agent(() -> verify(version, number, chunk + 1, valid)));
	}

	private void order(int version, long expected) {
		if (down()) {
			answer(OrderOutcome.REFUSED, 2);
			return;
		}
		int orderedIncarnation = this.incarnation;
		if (!happens(this.faults.lostOrder)) {
			boolean accepted = accept(version, expected, orderedIncarnation);
			answer(accepted ? OrderOutcome.ACCEPTED : OrderOutcome.REFUSED, 2);
			return;
		}
		if (this.random.nextBoolean()) {
			after(this.random.nextInt(6000), () -> accept(version, expected, orderedIncarnation));
		}
		answer(OrderOutcome.UNKNOWN, ORDER_TIMEOUT_MILLIS);
	}

	private void answer(OrderOutcome outcome, long afterMillis) {
		after(afterMillis, () -> agent(() -> this.rollout.orderAnswered(outcome, nanos())));
	}

	private boolean accept(int version, long expected, int orderedIncarnation) {
		if (this.sequence != expected || this.loading > 0 || this.incarnation != orderedIncarnation) {
			return false;
		}
		this.sequence++;
		this.loading = version;
		boolean bad = checkCopy(version);
		after(LOAD_MILLIS, () -> {
			if (this.incarnation == orderedIncarnation) {
				this.held = version;
				this.heldBad = bad;
				this.loading = 0;
			}
		});
		return true;
	}

	// Returns whether the copy is bad.
	private boolean checkCopy(int version) {
		for (int chunk = 0; chunk < CHUNKS; chunk++) {
			boolean longCorrupt = this.corruptSince[chunk] != Long.MAX_VALUE
					&& this.now - this.corruptSince[chunk] > MAX_CORRUPTION_MILLIS;
			if (this.staged[chunk] != version || longCorrupt) {
				this.badCopies.add("version " + version + " taken at " + this.now + " ms with chunk " + chunk
						+ " of version " + this.staged[chunk] + (longCorrupt ? ", corrupt" : ""));
				return true;
			}
		}
		return false;
	}

	private boolean happens(double probability) {
		return this.random.nextDouble() < probability;
	}

	private long nanos() {
		return this.now * 1_000_000;
	}

	private void after(long millis, Runnable task) {
		this.eventCount++;
		this.events.add(new Event(this.now + millis, this.eventCount, task));
	}

	/**
	 * The probability of each fault.
	 *
	 * @param lostOrder of an order to get no answer; half of those are accepted late
	 * @param crash of a crash of the engine, in each second
	 * @param corruption of a staged chunk to be corrupted, in each second
	 * @param pause of a pause of the agent, in each second
	 * @param namesIncarnation whether reports name the engine's incarnation
	 */
	record Faults(double lostOrder, double crash, double corruption, double pause, boolean namesIncarnation) {
	}

	private record Event(long at, long number, Runnable task) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.at != other.at) ? Long.compare(this.at, other.at) : Long.compare(this.number, other.number);
		}

	}

}
