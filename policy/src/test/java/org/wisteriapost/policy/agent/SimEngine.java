package org.wisteriapost.policy.agent;

import java.util.ArrayList;
import java.util.List;

/**
 * An engine that outlives its agents; it may honour fencing or not.
 */
final class SimEngine {

	private final boolean fencing;

	private final List<AgentEffect.SendOrder> taken = new ArrayList<>();

	private String serving = "";

	private boolean loading;

	SimEngine(boolean fencing) {
		this.fencing = fencing;
	}

	/**
	 * Returns false when the order is refused.
	 */
	boolean order(AgentEffect.SendOrder order) {
		if (this.fencing && !this.taken.isEmpty() && lower(order, last())) {
			return false;
		}
		this.taken.add(order);
		this.loading = true;
		return true;
	}

	void loaded(AgentEffect.SendOrder order) {
		if (order == last()) {
			this.loading = false;
			this.serving = order.weightsDigest();
		}
	}

	EngineView view() {
		long generation = this.taken.isEmpty() ? 0 : last().generation();
		long epoch = this.taken.isEmpty() ? 0 : last().epoch();
		return new EngineView(this.serving, this.loading, 0, 0, 4, generation, epoch);
	}

	String serving() {
		return this.serving;
	}

	List<AgentEffect.SendOrder> taken() {
		return this.taken;
	}

	private AgentEffect.SendOrder last() {
		return this.taken.getLast();
	}

	private static boolean lower(AgentEffect.SendOrder one, AgentEffect.SendOrder other) {
		if (one.generation() != other.generation()) {
			return one.generation() < other.generation();
		}
		return one.epoch() < other.epoch();
	}

}
