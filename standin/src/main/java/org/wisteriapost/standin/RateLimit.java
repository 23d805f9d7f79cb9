package org.wisteriapost.standin;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket that is full after a tenth of a second.
 */
final class RateLimit {

	private static final double BURST_SECONDS = 0.1;

	private final double perNano;

	private final double burst;

	private double tokens;

	private long at = System.nanoTime();

	private RateLimit(long perSecond) {
		this.perNano = perSecond / (double) TimeUnit.SECONDS.toNanos(1);
		this.burst = Math.max(1, perSecond * BURST_SECONDS);
		this.tokens = this.burst;
	}

	/**
	 * Returns a limit; 0 for none.
	 */
	static RateLimit perSecond(long perSecond) {
		return new RateLimit(perSecond);
	}

	/**
	 * Returns whether the amount fits now, and takes it if so.
	 */
	synchronized boolean allows(long amount) {
		refill();
		if (this.perNano > 0 && this.tokens < amount) {
			return false;
		}
		this.tokens -= amount;
		return true;
	}

	/**
	 * Takes the amount in any case and returns how long to wait before using it, in
	 * nanoseconds.
	 */
	synchronized long reserve(long amount) {
		if (this.perNano == 0) {
			return 0;
		}
		refill();
		this.tokens -= amount;
		return (long) Math.max(0, -this.tokens / this.perNano);
	}

	private void refill() {
		long now = System.nanoTime();
		this.tokens = Math.min(this.burst, this.tokens + (now - this.at) * this.perNano);
		this.at = now;
	}

}
