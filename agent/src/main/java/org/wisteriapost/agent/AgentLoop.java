package org.wisteriapost.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.AgentStateMachine;
import org.wisteriapost.policy.agent.AgentStatus;

/**
 * Single-threaded event loop that applies events to the {@link AgentStateMachine}.
 */
final class AgentLoop implements AutoCloseable {

	private static final int QUEUE_CAPACITY = 4096;

	private final AgentStateMachine stateMachine;

	private final Consumer<AgentEffect> effectHandler;

	private final Deque<AgentEvent> ownEvents = new ArrayDeque<>();

	private final long startNanos = System.nanoTime();

	private EventLoop<AgentEvent> loop;

	private volatile Thread owner;

	private volatile AgentStatus status = AgentStatus.INITIAL;

	AgentLoop(AgentStateMachine stateMachine, Consumer<AgentEffect> effectHandler) {
		this.stateMachine = stateMachine;
		this.effectHandler = effectHandler;
	}

	void start() {
		this.loop = EventLoop.start("agent", QUEUE_CAPACITY, this::consume);
		post(new AgentEvent.Tick());
	}

	/**
	 * Returns the monotonic time in nanoseconds since this process started, the time base
	 * of all events.
	 */
	long nowNanos() {
		return System.nanoTime() - this.startNanos;
	}

	AgentStatus status() {
		return this.status;
	}

	void post(AgentEvent event) {
		// An effect that completes immediately posts from the loop's own thread, where
		// waiting for free capacity in the queue would deadlock.
		if (Thread.currentThread() == this.owner) {
			this.ownEvents.add(event);
			return;
		}
		this.loop.put(event);
	}

	/**
	 * Posts an event unless the queue is full, and returns whether it was posted.
	 */
	boolean offer(AgentEvent event) {
		return this.loop.offer(event);
	}

	@Override
	public void close() {
		this.loop.close();
	}

	private void consume(AgentEvent event) {
		this.owner = Thread.currentThread();
		apply(event);
		AgentEvent next = this.ownEvents.poll();
		while (next != null) {
			apply(next);
			next = this.ownEvents.poll();
		}
	}

	private void apply(AgentEvent event) {
		var effects = this.stateMachine.apply(event, nowNanos());
		this.status = this.stateMachine.status();
		effects.forEach(this.effectHandler);
	}

}
