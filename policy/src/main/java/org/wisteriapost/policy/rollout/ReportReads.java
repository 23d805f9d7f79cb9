package org.wisteriapost.policy.rollout;

import java.time.Duration;

/**
 * When the engine's report is read: often while something is under way, seldom at rest.
 */
final class ReportReads {

	private static final long CALM_NANOS = Duration.ofMillis(1000).toNanos();

	private static final long BUSY_NANOS = Duration.ofMillis(150).toNanos();

	private static final long LOST_NANOS = Duration.ofMillis(1500).toNanos();

	private long begunNanos = Long.MIN_VALUE / 2;

	private boolean open;

	void begun(long nowNanos) {
		this.open = true;
		this.begunNanos = nowNanos;
	}

	void ended() {
		this.open = false;
	}

	boolean due(boolean calm, long nowNanos) {
		long since = nowNanos - this.begunNanos;
		return since > every(calm) && (!this.open || since > LOST_NANOS);
	}

	/**
	 * Returns after which moment the next one is due if the one under way is lost.
	 */
	long nextNanos(boolean calm, long nowNanos) {
		long next = this.begunNanos + every(calm);
		return (this.open && next <= nowNanos) ? this.begunNanos + LOST_NANOS : next;
	}

	private static long every(boolean calm) {
		return calm ? CALM_NANOS : BUSY_NANOS;
	}

}
