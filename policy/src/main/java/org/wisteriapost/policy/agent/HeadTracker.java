package org.wisteriapost.policy.agent;

import org.wisteriapost.kernel.Invariants;

/**
 * The highest head this agent has heard of, and whether its knowledge is good enough to
 * act on.
 *
 * Every head that anyone passes on was once in force, so a higher one may always be
 * followed. The danger is the start: an agent that knows nothing and hears only a
 * neighbour that has been cut off would take an old head for the newest, and turn its VM
 * back. So until the platform's word, not older than a few seconds, has been heard once,
 * the agent is not established and orders nothing.
 */
final class HeadTracker {

	private final Invariants invariants;

	private final long freshMillis;

	private long generation;

	private String digest = "";

	private boolean established;

	HeadTracker(AgentLimits limits, Invariants invariants) {
		this.freshMillis = limits.fresh().toMillis();
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

	void hear(AgentEvent.HeadHeard head) {
		if (head.confirmed() && head.ageMillis() <= this.freshMillis) {
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
