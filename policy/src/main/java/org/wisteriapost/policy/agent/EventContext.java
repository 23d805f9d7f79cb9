package org.wisteriapost.policy.agent;

import java.util.ArrayList;
import java.util.List;

/**
 * Time at which an event is applied, and the effects collected while applying it.
 */
final class EventContext {

	private final long now;

	private final List<AgentEffect> effects = new ArrayList<>();

	private long wakeAt = Long.MAX_VALUE;

	EventContext(long now) {
		this.now = now;
	}

	long now() {
		return this.now;
	}

	void add(AgentEffect effect) {
		this.effects.add(effect);
	}

	/**
	 * Requests a tick; the earliest requested time is used.
	 */
	void wakeAt(long timeNanos) {
		this.wakeAt = Math.min(this.wakeAt, timeNanos);
	}

	long wakeAt() {
		return this.wakeAt;
	}

	List<AgentEffect> effects() {
		return this.effects;
	}

}
