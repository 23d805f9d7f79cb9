package org.wisteriapost.policy.transfer;

/**
 * Keeps a stream of bytes under a rate: a bucket that fills with time. Used by one
 * thread.
 *
 * It stands on both ways of the link, so that weights leave the rest of it to live
 * traffic. The bucket holds a fraction of a second: enough to bridge the gaps between
 * ticks, too little for a burst that live answers would notice.
 */
public final class Pacer {

	private static final double NANOS = 1e9;

	private final double burstSeconds;

	private double bytesPerSecond;

	private double tokens;

	private long last;

	private Pacer(double burstSeconds) {
		this.burstSeconds = burstSeconds;
	}

	/**
	 * Returns a pacer that lets everything pass until a rate is set.
	 * @param burstSeconds how long a pause it makes up for
	 */
	public static Pacer create(double burstSeconds) {
		return new Pacer(burstSeconds);
	}

	/**
	 * Sets the rate, 0 for none.
	 */
	public void rate(double bytesPerSecond, long nowNanos) {
		refill(nowNanos);
		this.bytesPerSecond = bytesPerSecond;
	}

	/**
	 * Returns how long to wait before the next bytes may pass, 0 for not at all.
	 */
	public long delayNanos(long nowNanos) {
		refill(nowNanos);
		if (this.bytesPerSecond <= 0 || this.tokens > 0) {
			return 0;
		}
		return (long) Math.ceil((1 - this.tokens) / this.bytesPerSecond * NANOS);
	}

	/**
	 * Counts bytes that pass; what is over the bucket is owed by those that follow.
	 */
	public void take(int bytes) {
		this.tokens -= bytes;
	}

	private void refill(long nowNanos) {
		double most = this.bytesPerSecond * this.burstSeconds;
		double grown = this.tokens + (nowNanos - this.last) / NANOS * this.bytesPerSecond;
		this.tokens = (this.bytesPerSecond <= 0) ? 0 : Math.min(most, grown);
		this.last = nowNanos;
	}

}
