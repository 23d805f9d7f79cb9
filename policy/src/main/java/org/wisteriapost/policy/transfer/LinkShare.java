package org.wisteriapost.policy.transfer;

/**
 * Computes how much of a VM's link weight transfers may use.
 *
 * While weights are rolled out under peak load, responses to callers take precedence: the
 * share falls from one bound to the other as responses become late. It never reaches
 * zero, since a stopped rollout would keep two versions in service indefinitely.
 *
 * @param linkBytesPerSecond capacity of the link; 0 for no limit
 * @param normalShare share while responses are in time
 * @param shareWhileLate share while every response is late
 */
public record LinkShare(double linkBytesPerSecond, double normalShare, double shareWhileLate) {

	// The rest is left for message headers, acknowledgements and control traffic.
	private static final double IDLE_SHARE = 0.97;

	/**
	 * Returns the bytes per second for a VM without live traffic.
	 *
	 * Used for engines that hold no weights: they are sent no requests until all weights
	 * are held, so nothing needs to be reserved for responses.
	 */
	public double idleRate() {
		return this.linkBytesPerSecond * IDLE_SHARE;
	}

	/**
	 * Returns the bytes per second for a lateness from 0 (all responses in time) to 1
	 * (all late).
	 */
	public double rate(double lateness) {
		double bounded = Math.clamp(lateness, 0, 1);
		return this.linkBytesPerSecond
				* (this.normalShare - (this.normalShare - Math.min(this.normalShare, this.shareWhileLate)) * bounded);
	}

}
