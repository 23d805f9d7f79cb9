package org.wisteriapost.standin.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.policy.request.RunnerStatus;

/**
 * A simulated runner. Continuous batching is modelled as slots of equal speed; calls
 * beyond them wait, or are rejected by the gate.
 */
final class SimulatedRunner {

	final String name;

	final String failureDomain;

	final Map<Long, Call> running = new HashMap<>();

	final Deque<Call> waiting = new ArrayDeque<>();

	LoadProfile.Fault.Kind state = LoadProfile.Fault.Kind.HEALTHY;

	private final int slots;

	SimulatedRunner(String name, String failureDomain, int slots) {
		this.name = name;
		this.failureDomain = failureDomain;
		this.slots = slots;
	}

	boolean full() {
		return this.running.size() >= this.slots;
	}

	/**
	 * Removes and returns the next waiting call: the first of the highest priority at a
	 * gate, the first of all without one.
	 */
	Call nextWaiting(boolean gated) {
		Call next = this.waiting.peekFirst();
		for (Call call : this.waiting) {
			if (gated && call.caller().request.priority().compareTo(next.caller().request.priority()) < 0) {
				next = call;
			}
		}
		this.waiting.remove(next);
		return next;
	}

	/**
	 * Removes and returns the newest call of the lowest priority in a gate's queue.
	 */
	Call evictLeastUrgent() {
		Call evicted = this.waiting.peekLast();
		for (Call call : this.waiting.reversed()) {
			if (call.caller().request.priority().compareTo(evicted.caller().request.priority()) > 0) {
				evicted = call;
			}
		}
		this.waiting.remove(evicted);
		return evicted;
	}

	double slowdown() {
		return (this.state == LoadProfile.Fault.Kind.SLOW) ? 10 : 1;
	}

	RunnerStatus view() {
		return new RunnerStatus(this.name, this.failureDomain, LoadSim.SERVICE, true, LoadSim.DIGEST, 1,
				this.running.size(), this.waiting.size(), this.slots, Set.of());
	}

	/**
	 * One call at the runner.
	 *
	 * @param caller the caller that waits for the answer
	 * @param sequence the order of dispatch, which distinguishes retries of the same
	 * request
	 */
	record Call(LoadSim.Caller caller, long sequence) {
	}

}
