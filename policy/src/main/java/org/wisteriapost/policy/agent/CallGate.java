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
 * Admission control in front of the runner: starts a call, queues it, or refuses it
 * before any of it has been forwarded.
 *
 * Entries choose runners by status reports that are up to a second old, so many of them
 * may pick this runner at once and exceed its capacity. A short queue absorbs such a
 * burst without another round trip. A long queue would hold calls that another runner
 * could answer until their callers time out. The queue is therefore bounded, higher
 * priorities are started first and evict lower ones, and a call whose deadline would pass
 * in the queue is refused immediately.
 */
final class CallGate {

	private static final long INITIAL_DURATION_NANOS = 100_000_000L;

	private static final double SMOOTHING_FACTOR = 0.1;

	private static final long NOT_ADMITTING_RETRY_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final int maxQueuedCalls;

	private final Map<Long, RunningCall> running = new HashMap<>();

	private final Map<Priority, Deque<AgentEvent.CallArrived>> queues = new EnumMap<>(Priority.class);

	private final LateResponseTracker lateResponses = new LateResponseTracker();

	private AdmissionRules admission = AdmissionRules.CLOSED;

	private double meanDurationNanos = INITIAL_DURATION_NANOS;

	CallGate(AgentLimits limits) {
		this.maxQueuedCalls = limits.maxQueuedCalls();
		for (Priority priority : Priority.values()) {
			this.queues.put(priority, new ArrayDeque<>());
		}
	}

	int running() {
		return this.running.size();
	}

	int queued() {
		return this.queues.values().stream().mapToInt(Deque::size).sum();
	}

	double lateShare() {
		return this.lateResponses.lateShare();
	}

	/**
	 * Replaces the admission rules and applies them to the queued calls.
	 */
	void updateAdmission(AdmissionRules next, EventContext context) {
		boolean unchanged = next.equals(this.admission);
		this.admission = next;
		if (unchanged) {
			return;
		}
		for (AgentEvent.CallArrived call : allQueued()) {
			refusalCode(call, context.now()).ifPresent((code) -> {
				removeFromQueue(call.call());
				refuse(call, code, context);
			});
		}
		startQueued(context);
	}

	void arrived(AgentEvent.CallArrived call, EventContext context) {
		Optional<Code> refusal = refusalCode(call, context.now());
		if (refusal.isPresent()) {
			refuse(call, refusal.get(), context);
			return;
		}
		if (this.running.size() < this.admission.capacity() && queued() == 0) {
			start(call, context);
			return;
		}
		if (context.now() + estimatedWaitNanos(call.priority()) > call.deadlineNanos()) {
			refuse(call, GateCodes.TOO_LATE, context);
			return;
		}
		if (queued() >= this.maxQueuedCalls && !evictLowerPriority(call, context)) {
			refuse(call, GateCodes.FULL, context);
			return;
		}
		this.queues.get(call.priority()).addLast(call);
	}

	void responseStarted(long call, EventContext context) {
		RunningCall started = this.running.get(call);
		if (started != null) {
			this.lateResponses.recordLatency(context.now() - started.arrivedNanos());
		}
	}

	void ended(long call, EventContext context) {
		RunningCall started = this.running.remove(call);
		if (started != null) {
			this.meanDurationNanos += SMOOTHING_FACTOR
					* (context.now() - started.startedNanos() - this.meanDurationNanos);
			startQueued(context);
		}
	}

	void cancelled(long call, EventContext context) {
		removeFromQueue(call);
		context.add(new AgentEffect.CancelCall(call));
	}

	void cancelAll(EventContext context) {
		this.running.keySet().forEach((call) -> context.add(new AgentEffect.CancelCall(call)));
	}

	/**
	 * Refuses queued calls whose deadline has passed.
	 */
	void refuseExpired(EventContext context) {
		for (AgentEvent.CallArrived call : allQueued()) {
			if (call.deadlineNanos() <= context.now()) {
				removeFromQueue(call.call());
				refuse(call, GateCodes.TOO_LATE, context);
			}
		}
	}

	private Optional<Code> refusalCode(AgentEvent.CallArrived call, long now) {
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

	private void refuse(AgentEvent.CallArrived call, Code code, EventContext context) {
		long retryMillis = 0;
		if (code.equals(GateCodes.NOT_ADMITTING)) {
			retryMillis = NOT_ADMITTING_RETRY_MILLIS;
		}
		else if (code.equals(GateCodes.FULL) || code.equals(GateCodes.TOO_LATE)) {
			retryMillis = 1 + estimatedWaitNanos(call.priority()) / NANOS_PER_MILLI;
		}
		context.add(new AgentEffect.RefuseCall(call.call(), code.name(), retryMillis));
	}

	private long estimatedWaitNanos(Priority priority) {
		int ahead = this.queues.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().compareTo(priority) <= 0)
			.mapToInt((entry) -> entry.getValue().size())
			.sum();
		return (long) (this.meanDurationNanos * (ahead + 1) / Math.max(1, this.admission.capacity()));
	}

	/**
	 * Frees a queue position by refusing the newest call of the lowest priority below
	 * that of the given call. Returns whether there was such a call.
	 */
	private boolean evictLowerPriority(AgentEvent.CallArrived call, EventContext context) {
		for (Priority priority : List.of(Priority.BULK, Priority.NORMAL)) {
			Deque<AgentEvent.CallArrived> candidates = this.queues.get(priority);
			if (priority.compareTo(call.priority()) > 0 && !candidates.isEmpty()) {
				refuse(candidates.removeLast(), GateCodes.FULL, context);
				return true;
			}
		}
		return false;
	}

	private void startQueued(EventContext context) {
		for (AgentEvent.CallArrived call : allQueued()) {
			if (this.running.size() >= this.admission.capacity()) {
				return;
			}
			removeFromQueue(call.call());
			Optional<Code> refusal = refusalCode(call, context.now());
			if (refusal.isPresent()) {
				refuse(call, refusal.get(), context);
				continue;
			}
			start(call, context);
		}
	}

	private void start(AgentEvent.CallArrived call, EventContext context) {
		this.running.put(call.call(), new RunningCall(call.arrivedNanos(), context.now()));
		context.add(new AgentEffect.StartCall(call.call()));
	}

	private List<AgentEvent.CallArrived> allQueued() {
		List<AgentEvent.CallArrived> all = new ArrayList<>();
		this.queues.values().forEach(all::addAll);
		return all;
	}

	private void removeFromQueue(long call) {
		this.queues.values().forEach((queue) -> queue.removeIf((one) -> one.call() == call));
	}

	private record RunningCall(long arrivedNanos, long startedNanos) {
	}

}
