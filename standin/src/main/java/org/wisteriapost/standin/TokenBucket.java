package org.wisteriapost.standin;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket that allows bursts of a tenth of a second.
 */
final class TokenBucket {

	private static final double BURST_SECONDS = 0.1;

	private final double tokensPerNano;

	private final double burst;

	private double tokens;

	private long refilledAtNanos = System.nanoTime();

	private TokenBucket(long perSecond) {
		this.tokensPerNano = perSecond / (double) TimeUnit.SECONDS.toNanos(1);
		this.burst = Math.max(1, perSecond * BURST_SECONDS);
		this.tokens = this.burst;
	}

	/**
	 * Returns a full bucket; a rate of 0 means no limit.
	 */
	static TokenBucket perSecond(long perSecond) {
		return new TokenBucket(perSecond);
	}

	/**
	 * Takes the tokens if there are enough and returns whether it did.
	 */
	synchronized boolean tryAcquire(long amount) {
		refill();
		if (this.tokensPerNano > 0 && this.tokens < amount) {
			return false;
		}
		this.tokens -= amount;
		return true;
	}

	/**
	 * Takes the tokens, possibly into debt, and returns the nanoseconds to wait before
	 * using them.
	 */
	synchronized long reserve(long amount) {
		if (this.tokensPerNano == 0) {
			return 0;
		}
		refill();
		this.tokens -= amount;
		return (long) Math.max(0, -this.tokens / this.tokensPerNano);
	}

	private void refill() {
		long now = System.nanoTime();
		this.tokens = Math.min(this.burst, this.tokens + (now - this.refilledAtNanos) * this.tokensPerNano);
		this.refilledAtNanos = now;
	}

}
