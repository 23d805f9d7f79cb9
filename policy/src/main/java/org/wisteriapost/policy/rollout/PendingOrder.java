package org.wisteriapost.policy.rollout;

import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * An order that an engine has not answered.
 *
 * The engine takes the staged weights when it accepts the order, which may be seconds
 * after it was sent. A version staged meanwhile would be mixed into the ordered one. The
 * order is settled once the engine has accepted any order since, as its precondition then
 * no longer holds, or once the engine has restarted.
 *
 * @param version the version that the engine was ordered to take
 * @param orderCount the precondition: the number of orders accepted before
 * @param incarnation the incarnation of the engine that was ordered
 */
record PendingOrder(int version, long orderCount, RunnerIncarnation incarnation) {

	/**
	 * Returns whether a report shows that the engine can no longer accept the order.
	 */
	boolean settledBy(long reportedCount, RunnerIncarnation reportedBy) {
		return reportedCount > this.orderCount || lostWith(reportedCount, reportedBy);
	}

	/**
	 * Returns whether a report shows that the engine restarted, which loses the order.
	 */
	boolean lostWith(long reportedCount, RunnerIncarnation reportedBy) {
		return reportedCount < this.orderCount || this.incarnation.precedes(reportedBy);
	}

}
