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
 * The one thread that applies events to the agent's decisions.
 */
final class AgentLoop implements AutoCloseable {

	private static final int RING_EVENTS = 4096;

	private final AgentStateMachine machine;

	private final Consumer<AgentEffect> effects;

	private final Deque<AgentEvent> own = new ArrayDeque<>();

	private final long base = System.nanoTime();

	private EventLoop<AgentEvent> loop;

	private volatile Thread thread;

	private volatile AgentStatus view = AgentStatus.INITIAL;

	AgentLoop(AgentStateMachine machine, Consumer<AgentEffect> effects) {
		this.machine = machine;
		this.effects = effects;
	}

	void start() {
		this.loop = EventLoop.start("agent", RING_EVENTS, this::consume);
		post(new AgentEvent.Tick());
	}

	/**
	 * Returns the monotonic clock that all of the agent's times are on.
	 */
	long now() {
		return System.nanoTime() - this.base;
	}

	AgentStatus view() {
		return this.view;
	}

	void post(AgentEvent event) {
		// An effect that completes at once posts from the loop's own thread; waiting for
		// room there would wait for itself.
		if (Thread.currentThread() == this.thread) {
			this.own.add(event);
			return;
		}
		this.loop.put(event);
	}

	/**
	 * Returns whether the event was taken; false means that the agent is overrun.
	 */
	boolean offer(AgentEvent event) {
		return this.loop.offer(event);
	}

	@Override
	public void close() {
		this.loop.close();
	}

	private void consume(AgentEvent event) {
		this.thread = Thread.currentThread();
		apply(event);
		AgentEvent next = this.own.poll();
		while (next != null) {
			apply(next);
			next = this.own.poll();
		}
	}

	private void apply(AgentEvent event) {
		var decided = this.machine.apply(event, now());
		this.view = this.machine.status();
		decided.forEach(this.effects);
	}

}
