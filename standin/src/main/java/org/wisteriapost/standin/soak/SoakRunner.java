package org.wisteriapost.standin.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.LocalEngineStatus;

/**
 * The runner of an endpoint VM: a model engine or a plain service. It keeps running when
 * its agent ends.
 */
final class SoakRunner {

	/** The body of a request that crashes runners. */
	static final String POISON = "poison";

	/** Number of tokens in a model's answer. */
	static final int TOKENS = 5;

	private static final int MAX_CONCURRENT_CALLS = 4;

	private static final long ENDLESS_INTERVAL_NANOS = 50 * VirtualTime.MILLI;

	private final VirtualTime time;

	private final SoakLedger ledger;

	private final boolean plain;

	private final boolean fencing;

	private final SoakAnswerFaults answerFaults;

	private final Map<Long, Answer> running = new HashMap<>();

	private final List<AgentEffect.SendOrder> acceptedOrders = new ArrayList<>();

	private String weightsDigest = "";

	private boolean loading;

	private int lastNumber;

	SoakRunner(VirtualTime time, SoakLedger ledger, SoakAnswerFaults answerFaults, boolean plain, boolean fencing) {
		this.time = time;
		this.ledger = ledger;
		this.answerFaults = answerFaults;
		this.plain = plain;
		this.fencing = fencing;
	}

	String weightsDigest() {
		return this.weightsDigest;
	}

	LocalEngineStatus view() {
		long generation = this.acceptedOrders.isEmpty() ? 0 : this.acceptedOrders.getLast().generation();
		long epoch = this.acceptedOrders.isEmpty() ? 0 : this.acceptedOrders.getLast().epoch();
		return new LocalEngineStatus(this.weightsDigest, this.loading, this.running.size(), 0, MAX_CONCURRENT_CALLS,
				generation, epoch);
	}

	/**
	 * Applies an order to load weights. Returns false if the runner has fencing and the
	 * order is older than the last one that it accepted.
	 */
	boolean order(AgentEffect.SendOrder order) {
		if (this.fencing && !this.acceptedOrders.isEmpty() && older(order, this.acceptedOrders.getLast())) {
			return false;
		}
		this.acceptedOrders.add(order);
		this.loading = true;
		this.time.after(this.time.randomBetween(VirtualTime.SECOND / 10, VirtualTime.SECOND), () -> {
			if (!this.acceptedOrders.isEmpty() && this.acceptedOrders.getLast() == order) {
				this.loading = false;
				this.weightsDigest = order.weightsDigest();
			}
		});
		return true;
	}

	/**
	 * Starts a call.
	 * @param key the idempotency key, or an empty string
	 */
	void run(long call, String requestId, String key, Listener listener) {
		if (!this.plain && (this.loading || this.weightsDigest.isEmpty())) {
			this.time.afterNetworkDelay(listener::refused);
			repeat(listener::refused);
			return;
		}
		this.ledger.recordStart(requestId, key);
		Answer answer = new Answer(listener, this.answerFaults.next(this.plain ? 1 : TOKENS, !this.plain));
		this.running.put(call, answer);
		long delayNanos = this.time.randomBetween(5 * VirtualTime.MILLI, 60 * VirtualTime.MILLI);
		this.time.after(delayNanos + answer.plan.pauseNanos(0), () -> startAnswer(call, requestId, key));
	}

	/**
	 * Starts a call that crashes the runner shortly after.
	 */
	void runPoison(long call, String requestId, Listener listener) {
		if (this.loading || this.weightsDigest.isEmpty()) {
			this.time.afterNetworkDelay(listener::refused);
			return;
		}
		this.ledger.recordPoisonStart(requestId, this.time.nowNanos());
		this.running.put(call, new Answer(listener, this.answerFaults.next(1, false)));
		this.time.after(this.time.randomBetween(40 * VirtualTime.MILLI, 160 * VirtualTime.MILLI), () -> {
			if (this.running.containsKey(call)) {
				this.ledger.recordPoisonCrash(this.time.nowNanos());
				crash();
			}
		});
	}

	void cancel(long call) {
		Answer answer = this.running.remove(call);
		if (answer != null) {
			this.time.afterNetworkDelay(answer.listener::aborted);
		}
	}

	/**
	 * Restarts the process. All calls are aborted, and the runner serves no weights until
	 * the next order. The VM keeps the weights that it has fetched.
	 */
	void crash() {
		List.copyOf(this.running.keySet()).forEach(this::crashed);
		this.weightsDigest = "";
		this.loading = false;
		this.acceptedOrders.clear();
	}

	// Without framing the end of the process looks as the end of the answer does, but for
	// the event that was being written.
	private void crashed(long call) {
		Answer answer = this.running.get(call);
		if (!answer.streaming || !answer.plan.unframed()) {
			cancel(call);
			return;
		}
		this.running.remove(call);
		this.ledger.count("unframedStreamsCrashed");
		this.time.afterNetworkDelay(() -> endWithinEvent(answer.listener));
	}

	private void endWithinEvent(Listener listener) {
		this.ledger.count("streamsCut");
		listener.data("data: ");
		listener.completed();
	}

	private void startAnswer(long call, String requestId, String key) {
		Answer started = this.running.get(call);
		if (started == null) {
			return;
		}
		Listener listener = started.listener;
		listener.started(this.weightsDigest);
		started.streaming = !this.plain;
		if (this.plain) {
			String answer = key.isEmpty() ? "lookup|" + requestId : "number|" + ++this.lastNumber + "|" + key;
			listener.data(answer);
			finish(call);
			return;
		}
		sendToken(call, requestId, 0);
	}

	private void sendToken(long call, String requestId, int index) {
		Answer answer = this.running.get(call);
		if (answer == null) {
			return;
		}
		if (index == answer.plan.endWithin()) {
			endWithinEvent(this.running.remove(call).listener);
			return;
		}
		if (this.answerFaults.eventWithoutEnd()) {
			sendWithoutEnd(call);
			return;
		}
		answer.listener.data(event(this.weightsDigest, requestId, index));
		if (index + 1 == TOKENS) {
			finish(call);
			return;
		}
		long delayNanos = this.time.randomBetween(5 * VirtualTime.MILLI, 200 * VirtualTime.MILLI);
		this.time.after(delayNanos + answer.plan.pauseNanos(index + 1), () -> sendToken(call, requestId, index + 1));
	}

	// Until the call is cancelled.
	private void sendWithoutEnd(long call) {
		Answer answer = this.running.get(call);
		if (answer != null) {
			answer.listener.data("data: x");
			this.time.after(ENDLESS_INTERVAL_NANOS, () -> sendWithoutEnd(call));
		}
	}

	private void finish(long call) {
		Listener listener = this.running.remove(call).listener;
		listener.completed();
		repeat(listener::completed);
	}

	private void repeat(Runnable end) {
		this.answerFaults.repeatDelayNanos().ifPresent((delay) -> this.time.after(delay, end));
	}

	/**
	 * Returns the event that carries a token.
	 */
	static String event(String weightsDigest, String requestId, int index) {
		return "data: " + weightsDigest + "|" + requestId + "|" + index + "\n\n";
	}

	private static boolean older(AgentEffect.SendOrder one, AgentEffect.SendOrder other) {
		if (one.generation() != other.generation()) {
			return one.generation() < other.generation();
		}
		return one.epoch() < other.epoch();
	}

	/** An answer in progress. */
	private static final class Answer {

		private final Listener listener;

		private final SoakAnswerFaults.AnswerPlan plan;

		private boolean streaming;

		private Answer(Listener listener, SoakAnswerFaults.AnswerPlan plan) {
			this.listener = listener;
			this.plan = plan;
		}

	}

	/**
	 * Receives the answer of a call.
	 */
	interface Listener {

		void started(String weights);

		void data(String text);

		void completed();

		void aborted();

		void refused();

	}

}
