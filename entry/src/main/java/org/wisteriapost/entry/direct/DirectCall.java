package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.entry.caller.CallerAnswer;
import org.wisteriapost.policy.dispatch.Job;

/**
 * One request in progress: what the caller sent, and which relay may write its answer.
 *
 * The fields below the line belong to the I/O thread, on which all relays and answers
 * run. A relay that was replaced finds another in its place and writes nothing, so an
 * answer never joins two runs by accident.
 */
final class DirectCall {

	private final Arrival arrival;

	private final Job job;

	// I/O thread.

	private Optional<Relay> relay = Optional.empty();

	private Optional<Held> held = Optional.empty();

	private boolean begun;

	private boolean complete;

	DirectCall(Arrival arrival, Job job) {
		this.arrival = arrival;
		this.job = job;
	}

	Arrival arrival() {
		return this.arrival;
	}

	Job job() {
		return this.job;
	}

	CallerAnswer answer() {
		return this.arrival.answer();
	}

	/**
	 * Puts a relay in the place of the one before it, which is cancelled.
	 */
	void relay(Optional<Relay> next) {
		Optional<Relay> before = this.relay;
		this.relay = next;
		before.ifPresent(Relay::cancel);
	}

	boolean ownedBy(Relay one) {
		return this.relay.isPresent() && this.relay.get() == one;
	}

	/**
	 * Notes that the head went out.
	 */
	void begin() {
		this.begun = true;
	}

	boolean begun() {
		return this.begun;
	}

	/**
	 * Notes that the whole answer went out.
	 */
	void completed() {
		this.complete = true;
	}

	boolean complete() {
		return this.complete;
	}

	/**
	 * Keeps a runner's whole failure until it is decided whether another runner is asked.
	 */
	void hold(Held answer) {
		this.held = Optional.of(answer);
	}

	Optional<Held> held() {
		return this.held;
	}

	/**
	 * A runner's whole answer.
	 *
	 * @param status its status
	 * @param headers to hand on
	 * @param body whole
	 */
	record Held(int status, List<Map.Entry<String, String>> headers, byte[] body) {
	}

}
