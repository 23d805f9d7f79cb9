package org.wisteriapost.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Supplier;

/**
 * A simple continuous batch: each of its slots works on one call, a token at a time, and
 * takes the most urgent waiting call when it has ended.
 */
final class EngineBatch {

	private final EngineOptions options;

	private final Supplier<String> weights;

	private final PriorityQueue<Waiting> queue = new PriorityQueue<>(
			Comparator.comparingInt((Waiting one) -> one.call.priority()).thenComparingLong(Waiting::sequence));

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

	synchronized void add(EngineCall call, Runnable begins) {
		Waiting waiting = new Waiting(call, begins, this.sequence++);
		this.queue.add(waiting);
		call.watch(() -> gone(waiting));
		fill();
	}

	private void fill() {
		while (this.running < this.options.slots() && !this.queue.isEmpty()) {
			Waiting next = this.queue.remove();
			this.running++;
			next.begins.run();
			long prefill = this.options.prefillPerChar().toNanos() * next.call.prompt().length();
			StandinThreads.after(prefill + this.options.token().toNanos(), () -> step(next.call, 0));
		}
	}

	private void step(EngineCall call, int index) {
		if (call.cancelled()) {
			ended();
			return;
		}
		call.token(EngineTokens.token(this.weights.get(), call.prompt(), index), index);
		if (index + 1 == call.tokens()) {
			call.end();
			ended();
			return;
		}
		StandinThreads.after(this.options.token().toNanos(), () -> step(call, index + 1));
	}

	private synchronized void ended() {
		this.running--;
		fill();
	}

	private synchronized void gone(Waiting waiting) {
		this.cancelled++;
		waiting.call.cancel();
		this.queue.remove(waiting);
	}

	private record Waiting(EngineCall call, Runnable begins, long sequence) {
	}

}
