package org.wisteriapost.policy.dispatch;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Limits how much of an engine's free capacity this entry uses before peer load reports
 * can arrive.
 *
 * When an engine returns with all slots free and every entry has requests waiting, each
 * entry would otherwise fill the engine on its own. Together they would send several
 * times what the engine can start, and first events would be seconds late. Until the
 * peers have reported their in-flight counts ({@link LoadReportInterval}) each entry uses
 * only its fraction of the free slots. Fractional slots are rounded at random, so that
 * all entries together use the full capacity.
 */
final class CapacityShare {

	private static final long WINDOW_NANOS = Duration.ofMillis(120).toNanos();

	private long windowStartNanos = Long.MIN_VALUE / 2;

	private int quota;

	private int used;

	/**
	 * Returns whether one more request may be sent.
	 * @param free the apparent number of free slots
	 * @param entries the number of entries that send to the engine
	 */
	boolean available(int free, int entries, UniformRandomProvider random, long nowNanos) {
		if (nowNanos - this.windowStartNanos >= WINDOW_NANOS) {
			this.windowStartNanos = nowNanos;
			this.used = 0;
			this.quota = (int) Math.floor((double) Math.max(0, free) / entries + random.nextDouble());
		}
		return this.used < this.quota;
	}

	/**
	 * Records that a request was sent.
	 */
	void recordSend() {
		this.used++;
	}

}
