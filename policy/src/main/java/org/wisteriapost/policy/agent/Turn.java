package org.wisteriapost.policy.agent;

import java.util.ArrayList;
import java.util.List;

/**
 * One event's time and the effects it has so far.
 */
final class Turn {

	private final long now;

	private final List<AgentEffect> effects = new ArrayList<>();

	private long wakeAt = Long.MAX_VALUE;

	Turn(long now) {
		this.now = now;
	}

	long now() {
		return this.now;
	}

	void add(AgentEffect effect) {
		this.effects.add(effect);
	}

	/**
	 * Asks for a tick at some time; the earliest of a turn counts.
	 */
	void wakeAt(long atNanos) {
		this.wakeAt = Math.min(this.wakeAt, atNanos);
	}

	long wakeAt() {
		return this.wakeAt;
	}

	List<AgentEffect> effects() {
		return this.effects;
	}

}
