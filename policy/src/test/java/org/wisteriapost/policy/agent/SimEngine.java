package org.wisteriapost.policy.agent;

import java.util.ArrayList;
import java.util.List;

/**
 * A simulated engine, which keeps its state when agents restart. It honours fencing if so
 * configured.
 */
final class SimEngine {

	private final boolean fencing;

	private final List<AgentEffect.SendOrder> acceptedOrders = new ArrayList<>();

	private String serving = "";

	private boolean loading;

	SimEngine(boolean fencing) {
		this.fencing = fencing;
	}

	/**
	 * Returns whether the order is accepted.
	 */
	boolean order(AgentEffect.SendOrder order) {
		if (this.fencing && !this.acceptedOrders.isEmpty() && isLower(order, lastOrder())) {
			return false;
		}
		this.acceptedOrders.add(order);
		this.loading = true;
		return true;
	}

	void loaded(AgentEffect.SendOrder order) {
		if (order == lastOrder()) {
			this.loading = false;
			this.serving = order.weightsDigest();
		}
	}

	LocalEngineStatus status() {
		long generation = this.acceptedOrders.isEmpty() ? 0 : lastOrder().generation();
		long epoch = this.acceptedOrders.isEmpty() ? 0 : lastOrder().epoch();
		return new LocalEngineStatus(this.serving, this.loading, 0, 0, 4, generation, epoch);
	}

	String serving() {
		return this.serving;
	}

	List<AgentEffect.SendOrder> acceptedOrders() {
		return this.acceptedOrders;
	}

	private AgentEffect.SendOrder lastOrder() {
		return this.acceptedOrders.getLast();
	}

	private static boolean isLower(AgentEffect.SendOrder one, AgentEffect.SendOrder other) {
		if (one.generation() != other.generation()) {
			return one.generation() < other.generation();
		}
		return one.epoch() < other.epoch();
	}

}
