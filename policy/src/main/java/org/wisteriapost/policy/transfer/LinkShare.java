package org.wisteriapost.policy.transfer;

/**
 * Returns how much of a VM's link weights may use.
 *
 * Made for a roll beside live traffic at its peak: answers come first, so the share sinks
 * from one bound to the other as they get later. It never reaches zero, for a roll that
 * stands still would keep two versions in service without end.
 *
 * @param linkBytesPerSecond what the link carries; 0 for no limit
 * @param calm share while answers are in time
 * @param late share while every answer is late
 */
public record LinkShare(double linkBytesPerSecond, double calm, double late) {

	// The rest is for heads, acknowledgements and control.
	private static final double IDLE = 0.97;

	/**
	 * Returns the bytes per second while there is no live traffic.
	 *
	 * Made for engines that hold no weights: there is nothing on their links to spare,
	 * and the traffic that they would take is refused until they hold all.
	 */
	public double idleRate() {
		return this.linkBytesPerSecond * IDLE;
	}

	/**
	 * Returns the bytes per second for a lateness from 0, calm, to 1.
	 */
	public double rate(double lateness) {
		double bounded = Math.clamp(lateness, 0, 1);
		return this.linkBytesPerSecond * (this.calm - (this.calm - Math.min(this.calm, this.late)) * bounded);
	}

}
