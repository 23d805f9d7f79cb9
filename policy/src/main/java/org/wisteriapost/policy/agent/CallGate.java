package org.wisteriapost.policy.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.request.GateCodes;
import org.wisteriapost.policy.request.Priority;

/**
 * Lets a call through to the runner, keeps it for a moment, or refuses it before a byte
 * of it has gone on.
 *
 * Made for many entries that each believe this runner to be the least loaded, on reports
 * a second old: their calls arrive together and over capacity. A short queue takes such a
 * burst without a round trip; a long one would hold calls that another runner could
 * answer, until their callers give up. So it is bounded, urgent calls go first and push
 * out the least urgent, and a call whose deadline the queue ahead will pass is refused at
 * once.
 */
final class CallGate {

	private static final long FIRST_GUESS_NANOS = 100_000_000L;

	private static final double LEARN = 0.1;

	private static final long SWITCH_RETRY_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final int queueLimit;

	private final Map<Long, Started> running = new HashMap<>();

	private final Map<Priority, Deque<AgentEvent.CallArrived>> waiting = new EnumMap<>(Priority.class);

	private final Lateness lateness = new Lateness();

	private Admission admission = Admission.CLOSED;

	private double durationNanos = FIRST_GUESS_NANOS;

	CallGate(AgentLimits limits) {
		this.queueLimit = limits.queue();
		for (Priority priority : Priority.values()) {
			this.waiting.put(priority, new ArrayDeque<>());
		}
	}

	int running() {
		return this.running.size();
	}

	int queued() {
		return this.waiting.values().stream().mapToInt(Deque::size).sum();
	}

	double late() {
		return this.lateness.share();
	}

	/**
	 * Takes the new rules, and applies them to the calls that wait.
	 */
	void admission(Admission next, Turn turn) {
		boolean same = next.equals(this.admission);
		this.admission = next;
		if (same) {
			return;
		}
		for (AgentEvent.CallArrived call : allWaiting()) {
			refusal(call, turn.now()).ifPresent((code) -> {
				drop(call.call());
				refuse(call, code, turn);
			});
		}
		startWaiting(turn);
	}

	void arrive(AgentEvent.CallArrived call, Turn turn) {
		Optional<Code> refusal = refusal(call, turn.now());
		if (refusal.isPresent()) {
			refuse(call, refusal.get(), turn);
			return;
		}
		if (this.running.size() < this.admission.capacity() && queued() == 0) {
			start(call, turn);
			return;
		}
		if (turn.now() + waitNanos(call.priority()) > call.deadlineNanos()) {
			refuse(call, GateCodes.TOO_LATE, turn);
			return;
		}
		if (queued() >= this.queueLimit && !pushOut(call, turn)) {
			refuse(call, GateCodes.FULL, turn);
			return;
		}
		this.waiting.get(call.priority()).addLast(call);
	}

	void answered(long call, Turn turn) {
		Started started = this.running.get(call);
		if (started != null) {
			this.lateness.answered(turn.now() - started.arrivedAt());
		}
	}

	void ended(long call, Turn turn) {
		Started started = this.running.remove(call);
		if (started != null) {
			this.durationNanos += LEARN * (turn.now() - started.startedAt() - this.durationNanos);
			startWaiting(turn);
		}
	}

	void cancelled(long call, Turn turn) {
		drop(call);
		turn.add(new AgentEffect.CancelCall(call));
	}

	void cancelAll(Turn turn) {
		this.running.keySet().forEach((call) -> turn.add(new AgentEffect.CancelCall(call)));
	}

	/**
	 * Refuses waiting calls whose deadline has passed.
	 */
	void tick(Turn turn) {
		for (AgentEvent.CallArrived call : allWaiting()) {
			if (call.deadlineNanos() <= turn.now()) {
				drop(call.call());
				refuse(call, GateCodes.TOO_LATE, turn);
			}
		}
	}

	private Optional<Code> refusal(AgentEvent.CallArrived call, long now) {
		if (this.admission.leaving()) {
			return Optional.of(GateCodes.LEAVING);
		}
		if (!this.admission.admitting()) {
			return Optional.of(GateCodes.NOT_ADMITTING);
		}
		if (!call.weightsDigest().equals(this.admission.weightsDigest())) {
			return Optional.of(GateCodes.OTHER_WEIGHTS);
		}
		return (call.deadlineNanos() <= now) ? Optional.of(GateCodes.TOO_LATE) : Optional.empty();
	}

	private void refuse(AgentEvent.CallArrived call, Code code, Turn turn) {
		long retryMillis = 0;
		if (code.equals(GateCodes.NOT_ADMITTING)) {
			retryMillis = SWITCH_RETRY_MILLIS;
		}
		else if (code.equals(GateCodes.FULL) || code.equals(GateCodes.TOO_LATE)) {
			retryMillis = 1 + waitNanos(call.priority()) / NANOS_PER_MILLI;
		}
		turn.add(new AgentEffect.RefuseCall(call.call(), code.name(), retryMillis));
	}

	private long waitNanos(Priority priority) {
		int ahead = this.waiting.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().compareTo(priority) <= 0)
			.mapToInt((entry) -> entry.getValue().size())
			.sum();
		return (long) (this.durationNanos * (ahead + 1) / Math.max(1, this.admission.capacity()));
	}

	/**
	 * Makes room by refusing the newest of the least urgent calls, if any is less urgent.
	 */
	private boolean pushOut(AgentEvent.CallArrived call, Turn turn) {
		for (Priority priority : List.of(Priority.BULK, Priority.NORMAL)) {
			Deque<AgentEvent.CallArrived> candidates = this.waiting.get(priority);
			if (priority.compareTo(call.priority()) > 0 && !candidates.isEmpty()) {
				refuse(candidates.removeLast(), GateCodes.FULL, turn);
				return true;
			}
		}
		return false;
	}

	private void startWaiting(Turn turn) {
		for (AgentEvent.CallArrived call : allWaiting()) {
			if (this.running.size() >= this.admission.capacity()) {
				return;
			}
			drop(call.call());
			Optional<Code> refusal = refusal(call, turn.now());
			if (refusal.isPresent()) {
				refuse(call, refusal.get(), turn);
				continue;
			}
			start(call, turn);
		}
	}

	private void start(AgentEvent.CallArrived call, Turn turn) {
		this.running.put(call.call(), new Started(call.arrivedNanos(), turn.now()));
		turn.add(new AgentEffect.StartCall(call.call()));
	}

	private List<AgentEvent.CallArrived> allWaiting() {
		List<AgentEvent.CallArrived> all = new ArrayList<>();
		this.waiting.values().forEach(all::addAll);
		return all;
	}

	private void drop(long call) {
		this.waiting.values().forEach((queue) -> queue.removeIf((one) -> one.call() == call));
	}

	private record Started(long arrivedAt, long startedAt) {
	}

}
