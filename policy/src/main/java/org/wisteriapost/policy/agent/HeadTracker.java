package org.wisteriapost.policy.agent;

import org.wisteriapost.kernel.Invariants;

/**
 * Tracks the highest head received, and whether it may be acted on.
 *
 * Every head that a peer forwards was active at some time, so a higher one may always be
 * followed. At startup, however, an agent whose only peer is partitioned from the
 * platform would take a stale head for the newest and revert its VM to older weights. So
 * the tracker is not established, and the agent sends no orders, until one head has been
 * received that was confirmed by the platform within the staleness limit.
 */
final class HeadTracker {

	private final Invariants invariants;

	private final long maxStalenessMillis;

	private long generation;

	private String digest = "";

	private boolean established;

	HeadTracker(AgentLimits limits, Invariants invariants) {
		this.maxStalenessMillis = limits.maxHeadStaleness().toMillis();
		this.invariants = invariants;
	}

	long generation() {
		return this.generation;
	}

	String digest() {
		return this.digest;
	}

	boolean established() {
		return this.established;
	}

	void receive(AgentEvent.HeadReceived head) {
		if (head.confirmed() && head.stalenessMillis() <= this.maxStalenessMillis) {
			this.established = true;
		}
		if (head.generation() < this.generation || head.generation() == 0) {
			return;
		}
		if (head.generation() > this.generation) {
			this.generation = head.generation();
			this.digest = head.digest();
			return;
		}
		this.invariants.holds(head.digest().equals(this.digest), "one-digest-per-generation",
				"generation " + head.generation() + " is " + this.digest + " and " + head.digest());
	}

}
