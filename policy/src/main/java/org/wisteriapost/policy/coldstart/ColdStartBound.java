package org.wisteriapost.policy.coldstart;

/**
 * The site's bound on the requests that a cold runner may receive from all entries
 * together in any one second.
 *
 * @param overrun factor on the rate that the runner tolerates
 * @param burst requests allowed in addition
 */
public record ColdStartBound(double overrun, double burst) {

	/** The rate itself, without any addition. */
	public static final ColdStartBound STRICT = new ColdStartBound(1, 0);

	/**
	 * Returns the most requests that a cold runner may receive in any one second.
	 */
	public double maxRequests(ColdStart coldStart) {
		return coldStart.perSecond() * this.overrun + this.burst;
	}

}
