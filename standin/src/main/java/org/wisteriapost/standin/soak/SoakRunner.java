package org.wisteriapost.standin.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.LocalEngineStatus;

/**
 * What answers on an endpoint VM: a model engine or a plain service. It outlives its
 * agent.
 */
final class SoakRunner {

	/** Pieces of a model's answer. */
	static final int TOKENS = 5;

	private static final int CAPACITY = 4;

	private final VirtualTime time;

	private final SoakLedger ledger;

	private final boolean plain;

	private final boolean fencing;

	private final Map<Long, Listener> running = new HashMap<>();

	private final List<AgentEffect.SendOrder> taken = new ArrayList<>();

	private String serving = "";

	private boolean loading;

	private int numbers;

	SoakRunner(VirtualTime time, SoakLedger ledger, boolean plain, boolean fencing) {
		this.time = time;
		this.ledger = ledger;
		this.plain = plain;
		this.fencing = fencing;
	}

	String serving() {
		return this.serving;
	}

	LocalEngineStatus view() {
		long generation = this.taken.isEmpty() ? 0 : this.taken.getLast().generation();
		long epoch = this.taken.isEmpty() ? 0 : this.taken.getLast().epoch();
		return new LocalEngineStatus(this.serving, this.loading, this.running.size(), 0, CAPACITY, generation, epoch);
	}

	/**
	 * Returns false when the order is refused.
	 */
	boolean order(AgentEffect.SendOrder order) {
		if (this.fencing && !this.taken.isEmpty() && older(order, this.taken.getLast())) {
			return false;
		}
		this.taken.add(order);
		this.loading = true;
		this.time.after(this.time.between(VirtualTime.SECOND / 10, VirtualTime.SECOND), () -> {
			if (!this.taken.isEmpty() && this.taken.getLast() == order) {
				this.loading = false;
				this.serving = order.weightsDigest();
			}
		});
		return true;
	}

	/**
	 * Runs a call.
	 * @param key the idempotency key, empty for none
	 */
	void run(long call, String requestId, String key, Listener listener) {
		if (!this.plain && (this.loading || this.serving.isEmpty())) {
			this.time.soon(listener::refused);
			return;
		}
		this.ledger.ran(requestId, key);
		this.running.put(call, listener);
		long head = this.time.between(5 * VirtualTime.MILLI, 60 * VirtualTime.MILLI);
		this.time.after(head, () -> head(call, requestId, key));
	}

	void cancel(long call) {
		Listener listener = this.running.remove(call);
		if (listener != null) {
			this.time.soon(listener::cut);
		}
	}

	/**
	 * Ends the process and starts it again; the VM's memory with the weights stays.
	 */
	void crash() {
		List.copyOf(this.running.keySet()).forEach(this::cancel);
		this.serving = "";
		this.loading = false;
		this.taken.clear();
	}

	private void head(long call, String requestId, String key) {
		Listener listener = this.running.get(call);
		if (listener == null) {
			return;
		}
		listener.head(this.serving);
		if (this.plain) {
			String answer = key.isEmpty() ? "lookup|" + requestId : "number|" + ++this.numbers + "|" + key;
			listener.data(answer);
			end(call);
			return;
		}
		token(call, requestId, 0);
	}

	private void token(long call, String requestId, int index) {
		Listener listener = this.running.get(call);
		if (listener == null) {
			return;
		}
		listener.data(this.serving + "|" + requestId + "|" + index + "\n");
		if (index + 1 == TOKENS) {
			end(call);
			return;
		}
		long pause = this.time.between(5 * VirtualTime.MILLI, 200 * VirtualTime.MILLI);
		this.time.after(pause, () -> token(call, requestId, index + 1));
	}

	private void end(long call) {
		this.running.remove(call).end();
	}

	private static boolean older(AgentEffect.SendOrder one, AgentEffect.SendOrder other) {
		if (one.generation() != other.generation()) {
			return one.generation() < other.generation();
		}
		return one.epoch() < other.epoch();
	}

	/**
	 * Hears a call's answer.
	 */
	interface Listener {

		void head(String weights);

		void data(String piece);

		void end();

		void cut();

		void refused();

	}

}
