package org.wisteriapost.standin.soak;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The scheduler, clock and random generator of a run. Time advances only from task to
 * task.
 */
final class VirtualTime {

	static final long MILLI = 1_000_000L;

	static final long SECOND = 1_000 * MILLI;

	// Far from 0, so that an unset timestamp does not look recent.
	private static final long START_NANOS = 3_600 * SECOND;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::sequence));

	private final UniformRandomProvider random;

	private long nowNanos = START_NANOS;

	private long nextSequence;

	VirtualTime(long seed) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
	}

	long nowNanos() {
		return this.nowNanos;
	}

	long wallMillis() {
		return 1_800_000_000_000L + this.nowNanos / MILLI;
	}

	/**
	 * Returns the number of tasks that have run.
	 */
	long events() {
		return this.nextSequence - this.tasks.size();
	}

	UniformRandomProvider random() {
		return this.random;
	}

	boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	long randomBetween(long min, long max) {
		return min + this.random.nextLong(max - min);
	}

	void after(long delayNanos, Runnable task) {
		this.tasks.add(new Task(this.nowNanos + Math.max(0, delayNanos), this.nextSequence++, task));
	}

	/**
	 * Schedules a task after a random network delay.
	 */
	void afterNetworkDelay(Runnable task) {
		after(randomBetween(MILLI / 3, 2 * MILLI), task);
	}

	void run(long nanos) {
		long end = this.nowNanos + nanos;
		while (!this.tasks.isEmpty() && this.tasks.peek().atNanos <= end) {
			Task next = this.tasks.poll();
			this.nowNanos = next.atNanos;
			next.action.run();
		}
		this.nowNanos = end;
	}

	private record Task(long atNanos, long sequence, Runnable action) {
	}

}
