package org.wisteriapost.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Records what the clients observed, to be compared with what the runners executed.
 */
final class TrafficRecorder {

	private static final int MAX_PROBLEMS = 20;

	private final Map<Count, AtomicLong> counts = new ConcurrentHashMap<>();

	private final Set<String> notRun = ConcurrentHashMap.newKeySet();

	private final Set<String> labels = ConcurrentHashMap.newKeySet();

	private final List<String> problems = new ArrayList<>();

	void count(Count kind) {
		this.counts.computeIfAbsent(kind, (key) -> new AtomicLong()).incrementAndGet();
	}

	void recordProblem(Count kind, String detail) {
		count(kind);
		synchronized (this.problems) {
			if (this.problems.size() < MAX_PROBLEMS) {
				this.problems.add(kind + ": " + detail);
			}
		}
	}

	void recordNotRun(String requestId) {
		this.notRun.add(requestId);
	}

	void recordWeightsLabel(String weightsDigest) {
		this.labels.add(weightsDigest);
	}

	long total(Count kind) {
		AtomicLong count = this.counts.get(kind);
		return (count != null) ? count.get() : 0;
	}

	List<String> problems() {
		synchronized (this.problems) {
			return List.copyOf(this.problems);
		}
	}

	/**
	 * Counts the requests that were executed although a client was told that they were
	 * not.
	 */
	void checkExecuted(Map<String, Long> executed) {
		executed.keySet()
			.stream()
			.filter(this.notRun::contains)
			.forEach((id) -> recordProblem(Count.NOT_RUN_THAT_RAN, "request " + id + " was executed"));
	}

	/**
	 * Counts the idempotency keys whose allocation was executed more than once, over all
	 * plain services.
	 */
	void checkAllocations(List<PlainServer.Execution> executions) {
		Map<String, List<String>> byKey = new HashMap<>();
		executions.forEach((one) -> byKey.computeIfAbsent(one.key(), (key) -> new ArrayList<>()).add(one.requestId()));
		byKey.forEach((key, ids) -> {
			if (ids.size() > 1) {
				recordProblem(Count.DUPLICATED, "key " + key + " was executed for requests " + ids);
			}
		});
	}

	/**
	 * Counts the weights in response labels that belong to no accepted bundle.
	 */
	void checkLabels(Set<String> accepted) {
		this.labels.stream()
			.filter((label) -> !accepted.contains(label))
			.forEach((label) -> recordProblem(Count.WRONG, "weights " + label + " belong to no accepted bundle"));
	}

	Map<String, Long> totals() {
		Map<String, Long> figures = new TreeMap<>();
		for (Count kind : Count.values()) {
			figures.put(kind.text, total(kind));
		}
		return figures;
	}

	/**
	 * The recorded counts.
	 */
	enum Count {

		REQUESTS("requests"), ANSWERED("answered"), WRONG("wrong"), LOST("lost"), DUPLICATED("duplicated"),
		MIXED("mixed"), NOT_RUN_THAT_RAN("notRunThatRan"), UNKNOWN("unknown"), RETRIED("retried"), CUT("cut");

		private final String text;

		Count(String text) {
			this.text = text;
		}

	}

}
