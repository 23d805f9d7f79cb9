package org.wisteriapost.policy.ratelimit;

import java.time.Duration;

/**
 * Rate of arrivals, as an exponentially decaying average.
 */
final class ArrivalRate {

	// Averages over the gaps of a few arrivals a second and follows traffic that moves to
	// another entry.
	private static final double DECAY_SECONDS = 2;

	private double sum;

	private long decayedNanos;

	void record(long nowNanos) {
		decay(nowNanos);
		this.sum++;
	}

	double perSecond(long nowNanos) {
		decay(nowNanos);
		return this.sum / DECAY_SECONDS;
	}

	private void decay(long nowNanos) {
		double elapsedSeconds = (double) (nowNanos - this.decayedNanos) / Duration.ofSeconds(1).toNanos();
		this.sum *= Math.exp(-elapsedSeconds / DECAY_SECONDS);
		this.decayedNanos = nowNanos;
	}

}
