package org.wisteriapost.policy.agent;

/**
 * Tracks the share of recent responses whose first byte was late.
 *
 * Detects that a transfer of weights slows down live calls on the same link, which shows
 * first in the time to first byte. The baseline is the lowest recent time. It grows
 * slowly, so that it adapts within minutes when prompts get longer, and needs no
 * configured value for each model.
 */
final class LateResponseTracker {

	private static final double SMOOTHING_FACTOR = 0.05;

	private static final double BASELINE_GROWTH = 1.002;

	private static final double LATE_FACTOR = 2;

	private static final double TOLERANCE_NANOS = 10_000_000;

	private double baselineNanos;

	private double lateShare;

	void recordLatency(long latencyNanos) {
		this.baselineNanos = (this.baselineNanos == 0) ? latencyNanos
				: Math.min(this.baselineNanos * BASELINE_GROWTH, latencyNanos);
		boolean late = latencyNanos > this.baselineNanos * LATE_FACTOR + TOLERANCE_NANOS;
		this.lateShare += SMOOTHING_FACTOR * ((late ? 1 : 0) - this.lateShare);
	}

	double lateShare() {
		return this.lateShare;
	}

}
