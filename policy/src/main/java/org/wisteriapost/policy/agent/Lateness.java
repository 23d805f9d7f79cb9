package org.wisteriapost.policy.agent;

/**
 * The share of recent answers that began late.
 *
 * Made for a burst of weights on the link that live calls share: what grows first is the
 * time to an answer's first byte. The yardstick is the best that was seen lately, and it
 * drifts upwards slowly, so that a longer prompt mix becomes the new normal within
 * minutes and no fixed figure has to be configured for each model.
 */
final class Lateness {

	private static final double LEARN = 0.05;

	private static final double DRIFT = 1.002;

	private static final double FACTOR = 2;

	private static final double SLACK_NANOS = 10_000_000;

	private double bestNanos;

	private double share;

	void answered(long tookNanos) {
		this.bestNanos = (this.bestNanos == 0) ? tookNanos : Math.min(this.bestNanos * DRIFT, tookNanos);
		boolean late = tookNanos > this.bestNanos * FACTOR + SLACK_NANOS;
		this.share += LEARN * ((late ? 1 : 0) - this.share);
	}

	double share() {
		return this.share;
	}

}
