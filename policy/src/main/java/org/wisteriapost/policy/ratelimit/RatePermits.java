package org.wisteriapost.policy.ratelimit;

import java.time.Duration;

/**
 * Evenly spaced permits for requests at a rate.
 *
 * A permit that is not used within {@link #VALIDITY} is lost. If entries without traffic
 * could keep theirs, dozens of them could send a request each at the same moment to a
 * runner that takes one a second.
 */
final class RatePermits {

	static final Duration VALIDITY = Duration.ofSeconds(1);

	private static final double NANOS_PER_SECOND = 1e9;

	private double perSecond;

	// When the first permit that is not used begins to be valid.
	private long nextNanos;

	/**
	 * Creates permits.
	 * @param phase from 0 to 1, the time of the first permit within the interval of
	 * permits; it differs between entries, so that they do not send at the same time
	 */
	RatePermits(double perSecond, double phase, long nowNanos) {
		this.perSecond = perSecond;
		this.nextNanos = nowNanos + (long) (phase * intervalNanos());
	}

	/**
	 * Sets the rate. The time until the next permit changes in proportion.
	 */
	void setRate(double newPerSecond, long nowNanos) {
		if (this.nextNanos > nowNanos) {
			this.nextNanos = nowNanos + (long) ((this.nextNanos - nowNanos) * this.perSecond / newPerSecond);
		}
		this.perSecond = newPerSecond;
	}

	boolean available(long nowNanos) {
		dropExpired(nowNanos);
		return nowNanos >= this.nextNanos;
	}

	void take(long nowNanos) {
		dropExpired(nowNanos);
		this.nextNanos += intervalNanos();
	}

	private void dropExpired(long nowNanos) {
		double expiredNanos = nowNanos - VALIDITY.toNanos() - this.nextNanos;
		if (expiredNanos > 0) {
			this.nextNanos += (long) (Math.ceil(expiredNanos / intervalNanos()) * intervalNanos());
		}
	}

	private long intervalNanos() {
		return (long) (NANOS_PER_SECOND / this.perSecond);
	}

}
