package org.wisteriapost.policy.admission;

import java.time.Duration;

/**
 * A count in which older occurrences weigh less.
 */
final class DecayingCount {

	private final double halfLifeNanos;

	private double value;

	private long updatedNanos;

	DecayingCount(Duration halfLife) {
		this.halfLifeNanos = halfLife.toNanos();
	}

	void increment(long nowNanos) {
		this.value = value(nowNanos) + 1;
		this.updatedNanos = nowNanos;
	}

	double value(long nowNanos) {
		return this.value * Math.pow(0.5, (nowNanos - this.updatedNanos) / this.halfLifeNanos);
	}

}
