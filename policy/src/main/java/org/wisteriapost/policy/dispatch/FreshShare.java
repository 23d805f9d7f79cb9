package org.wisteriapost.policy.dispatch;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * This entry's share of the room that it believes one engine has, until it can have heard
 * what the others took of it.
 *
 * Load: an engine comes back with all of its slots free, and every entry has requests
 * waiting. Harm prevented: each sends all that fits, several times what the engine can
 * begin, and the callers' first events come seconds late although other engines had room
 * a moment later. Entries tell each other what they have at an engine every 100 ms;
 * within that time each takes its part of what was free, a fraction of a slot by chance,
 * so that all of them together take what there is.
 */
final class FreshShare {

	private static final long WINDOW_NANOS = Duration.ofMillis(120).toNanos();

	private long sinceNanos = Long.MIN_VALUE / 2;

	private int allowed;

	private int taken;

	/**
	 * Returns whether one more may be sent.
	 * @param free places that seem free
	 * @param entries how many entries send there
	 */
	boolean left(int free, int entries, UniformRandomProvider random, long nowNanos) {
		if (nowNanos - this.sinceNanos >= WINDOW_NANOS) {
			this.sinceNanos = nowNanos;
			this.taken = 0;
			this.allowed = (int) Math.floor((double) Math.max(0, free) / entries + random.nextDouble());
		}
		return this.taken < this.allowed;
	}

	/**
	 * Notes that one was sent.
	 */
	void took() {
		this.taken++;
	}

}
