package org.wisteriapost.standin.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.policy.request.RunnerStatus;

/**
 * One simulated runner: continuous batching as slots of equal speed, and calls beyond
 * them refused by the gate or waiting.
 */
final class RunnerSim {

	final String name;

	final String place;

	final Map<Long, Call> running = new HashMap<>();

	final Deque<Call> waiting = new ArrayDeque<>();

	LoadProfile.Fault.Kind state = LoadProfile.Fault.Kind.WELL;

	private final int slots;

	RunnerSim(String name, String place, int slots) {
		this.name = name;
		this.place = place;
		this.slots = slots;
	}

	boolean full() {
		return this.running.size() >= this.slots;
	}

	/**
	 * Takes the next waiting call: the most urgent at a gate, the first without one.
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
	 * Takes the newest of the least urgent calls out of a gate's queue.
	 */
	Call pushOut() {
		Call out = this.waiting.peekLast();
		for (Call call : this.waiting.reversed()) {
			if (call.caller().request.priority().compareTo(out.caller().request.priority()) > 0) {
				out = call;
			}
		}
		this.waiting.remove(out);
		return out;
	}

	double slowness() {
		return (this.state == LoadProfile.Fault.Kind.SLOW) ? 10 : 1;
	}

	RunnerStatus view() {
		return new RunnerStatus(this.name, this.place, LoadSim.SERVICE, true, LoadSim.DIGEST, 1, this.running.size(),
				this.waiting.size(), this.slots, Set.of());
	}

	/**
	 * One call at the runner.
	 *
	 * @param caller who waits for it
	 * @param number tells two calls for the same caller apart
	 */
	record Call(LoadSim.Caller caller, long number) {
	}

}
