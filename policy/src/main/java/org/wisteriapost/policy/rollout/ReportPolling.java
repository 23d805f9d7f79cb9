package org.wisteriapost.policy.rollout;

import java.time.Duration;

/**
 * Schedules reads of the engine's report: frequent while a switch is in progress, rare
 * otherwise.
 */
final class ReportPolling {

	private static final long IDLE_INTERVAL_NANOS = Duration.ofMillis(1000).toNanos();

	private static final long ACTIVE_INTERVAL_NANOS = Duration.ofMillis(150).toNanos();

	private static final long READ_TIMEOUT_NANOS = Duration.ofMillis(1500).toNanos();

	private long startedNanos = Long.MIN_VALUE / 2;

	private boolean pending;

	void started(long nowNanos) {
		this.pending = true;
		this.startedNanos = nowNanos;
	}

	void ended() {
		this.pending = false;
	}

	boolean pending() {
		return this.pending;
	}

	/**
	 * Returns when the latest read started.
	 */
	long startedNanos() {
		return this.startedNanos;
	}

	boolean due(boolean idle, long nowNanos) {
		long since = nowNanos - this.startedNanos;
		return since > intervalNanos(idle) && (!this.pending || since > READ_TIMEOUT_NANOS);
	}

	/**
	 * Returns when the next read is due, if the pending one is not answered before.
	 */
	long nextNanos(boolean idle, long nowNanos) {
		long next = this.startedNanos + intervalNanos(idle);
		return (this.pending && next <= nowNanos) ? this.startedNanos + READ_TIMEOUT_NANOS : next;
	}

	private static long intervalNanos(boolean idle) {
		return idle ? IDLE_INTERVAL_NANOS : ACTIVE_INTERVAL_NANOS;
	}

}
