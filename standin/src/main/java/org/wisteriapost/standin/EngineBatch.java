package org.wisteriapost.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Supplier;

/**
 * A simple continuous batch: each slot decodes one call, token by token, and then takes
 * the queued call of the highest priority.
 */
final class EngineBatch {

	private final EngineOptions options;

	private final Supplier<String> weights;

	private final PriorityQueue<QueuedCall> queue = new PriorityQueue<>(
			Comparator.comparingInt((QueuedCall one) -> one.call.priority()).thenComparingLong(QueuedCall::sequence));

	private long sequence;

	private int running;

	private long cancelled;

	EngineBatch(EngineOptions options, Supplier<String> weights) {
		this.options = options;
		this.weights = weights;
	}

	synchronized int running() {
		return this.running;
	}

	synchronized int queued() {
		return this.queue.size();
	}

	synchronized long cancelled() {
		return this.cancelled;
	}

	synchronized void add(EngineCall call, Runnable onStart) {
		QueuedCall queued = new QueuedCall(call, onStart, this.sequence++);
		this.queue.add(queued);
		call.onDisconnect(() -> cancel(queued));
		fillSlots();
	}

	private void fillSlots() {
		while (this.running < this.options.slots() && !this.queue.isEmpty()) {
			QueuedCall next = this.queue.remove();
			this.running++;
			next.onStart.run();
			long prefill = this.options.prefillTimePerChar().toNanos() * next.call.prompt().length();
			StandinThreads.schedule(prefill + this.options.timePerToken().toNanos(), () -> step(next.call, 0));
		}
	}

	private void step(EngineCall call, int index) {
		if (call.cancelled()) {
			releaseSlot();
			return;
		}
		call.token(EngineTokens.token(this.weights.get(), call.prompt(), index), index);
		if (index + 1 == call.tokens()) {
			call.end();
			releaseSlot();
			return;
		}
		StandinThreads.schedule(this.options.timePerToken().toNanos(), () -> step(call, index + 1));
	}

	private synchronized void releaseSlot() {
		this.running--;
		fillSlots();
	}

	private synchronized void cancel(QueuedCall queued) {
		this.cancelled++;
		queued.call.cancel();
		this.queue.remove(queued);
	}

	private record QueuedCall(EngineCall call, Runnable onStart, long sequence) {
	}

}
