package org.wisteriapost.standin.soak;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Time that passes only from task to task, and all chance of a run.
 */
final class VirtualTime {

	static final long MILLI = 1_000_000L;

	static final long SECOND = 1_000 * MILLI;

	// Well away from 0, so that a field nobody has set does not look like a recent time.
	private static final long START = 3_600 * SECOND;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::at).thenComparingLong(Task::number));

	private final UniformRandomProvider random;

	private long now = START;

	private long number;

	VirtualTime(long seed) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
	}

	long now() {
		return this.now;
	}

	long wallMillis() {
		return 1_800_000_000_000L + this.now / MILLI;
	}

	/**
	 * Returns how many tasks have run.
	 */
	long events() {
		return this.number - this.tasks.size();
	}

	UniformRandomProvider random() {
		return this.random;
	}

	boolean chance(double share) {
		return this.random.nextDouble() < share;
	}

	long between(long least, long most) {
		return least + this.random.nextLong(most - least);
	}

	void after(long delayNanos, Runnable task) {
		this.tasks.add(new Task(this.now + Math.max(0, delayNanos), this.number++, task));
	}

	/**
	 * Runs a task after a call's way over the network.
	 */
	void soon(Runnable task) {
		after(between(MILLI / 3, 2 * MILLI), task);
	}

	void run(long nanos) {
		long end = this.now + nanos;
		while (!this.tasks.isEmpty() && this.tasks.peek().at <= end) {
			Task next = this.tasks.poll();
			this.now = next.at;
			next.action.run();
		}
		this.now = end;
	}

	private record Task(long at, long number, Runnable action) {
	}

}
