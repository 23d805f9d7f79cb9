package org.wisteriapost.policy.transfer;

/**
 * A token bucket that limits the rate of a byte stream. Used by one thread.
 *
 * It limits weight transfers in both directions of the link, so that the rest of the link
 * is left for live traffic. Its capacity is a fraction of a second: enough to bridge the
 * gaps between ticks, too little for a burst that delays responses to callers.
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double burstSeconds;

	private double bytesPerSecond;

	private double tokens;

	private long refilledNanos;

	private TokenBucket(double burstSeconds) {
		this.burstSeconds = burstSeconds;
	}

	/**
	 * Returns a bucket without a limit; {@link #setRate} sets one.
	 * @param burstSeconds the capacity, in seconds at the current rate
	 */
	public static TokenBucket create(double burstSeconds) {
		return new TokenBucket(burstSeconds);
	}

	/**
	 * Sets the rate; 0 for no limit.
	 */
	public void setRate(double bytesPerSecond, long nowNanos) {
		refill(nowNanos);
		this.bytesPerSecond = bytesPerSecond;
	}

	/**
	 * Returns how long to wait before more bytes may be sent; 0 when they may be sent
	 * now.
	 */
	public long delayNanos(long nowNanos) {
		refill(nowNanos);
		if (this.bytesPerSecond <= 0 || this.tokens > 0) {
			return 0;
		}
		return (long) Math.ceil((1 - this.tokens) / this.bytesPerSecond * NANOS_PER_SECOND);
	}

	/**
	 * Consumes tokens. The balance may become negative and delays the following bytes.
	 */
	public void consume(int bytes) {
		this.tokens -= bytes;
	}

	private void refill(long nowNanos) {
		double capacity = this.bytesPerSecond * this.burstSeconds;
		double refilled = this.tokens + (nowNanos - this.refilledNanos) / NANOS_PER_SECOND * this.bytesPerSecond;
		this.tokens = (this.bytesPerSecond <= 0) ? 0 : Math.min(capacity, refilled);
		this.refilledNanos = nowNanos;
	}

}
