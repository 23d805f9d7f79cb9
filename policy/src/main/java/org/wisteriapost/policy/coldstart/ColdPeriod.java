package org.wisteriapost.policy.coldstart;

/**
 * The time for which a runner counts as cold.
 *
 * @param reason why it does
 * @param untilNanos its end
 */
public record ColdPeriod(Reason reason, long untilNanos) {

	/**
	 * Why a runner counts as cold.
	 */
	public enum Reason {

		/** It started during traffic. */
		STARTED,
		/** Its registration or a response states it. */
		STATED,
		/** Another decision presumes it. */
		PRESUMED

	}

}
