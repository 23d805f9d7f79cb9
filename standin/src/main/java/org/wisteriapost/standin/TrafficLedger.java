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
 * What the callers were told, to be held against what truly ran.
 */
final class TrafficLedger {

	private static final int PROBLEMS_KEPT = 20;

	private final Map<Count, AtomicLong> counts = new ConcurrentHashMap<>();

	private final Set<String> notRun = ConcurrentHashMap.newKeySet();

	private final Set<String> labels = ConcurrentHashMap.newKeySet();

	private final List<String> problems = new ArrayList<>();

	void count(Count kind) {
		this.counts.computeIfAbsent(kind, (key) -> new AtomicLong()).incrementAndGet();
	}

	void problem(Count kind, String detail) {
		count(kind);
		synchronized (this.problems) {
			if (this.problems.size() < PROBLEMS_KEPT) {
				this.problems.add(kind + ": " + detail);
			}
		}
	}

	void toldNotRun(String requestId) {
		this.notRun.add(requestId);
	}

	void labelled(String weightsDigest) {
		this.labels.add(weightsDigest);
	}

	long of(Count kind) {
		AtomicLong count = this.counts.get(kind);
		return (count != null) ? count.get() : 0;
	}

	List<String> problems() {
		synchronized (this.problems) {
			return List.copyOf(this.problems);
		}
	}

	/**
	 * Counts the requests that ran although a caller was told that they had not.
	 */
	void checkExecuted(Map<String, Long> executed) {
		executed.keySet()
			.stream()
			.filter(this.notRun::contains)
			.forEach((id) -> problem(Count.NOT_RUN_THAT_RAN, "request " + id + " ran"));
	}

	/**
	 * Counts the keys whose allocation ran more than once, over all plain services.
	 */
	void checkAllocations(List<PlainServer.Execution> executions) {
		Map<String, List<String>> byKey = new HashMap<>();
		executions.forEach((one) -> byKey.computeIfAbsent(one.key(), (key) -> new ArrayList<>()).add(one.requestId()));
		byKey.forEach((key, ids) -> {
			if (ids.size() > 1) {
				problem(Count.DUPLICATED, "key " + key + " ran for " + ids);
			}
		});
	}

	/**
	 * Counts the weights that answers were labelled with but that no bundle names.
	 */
	void checkLabels(Set<String> accepted) {
		this.labels.stream()
			.filter((label) -> !accepted.contains(label))
			.forEach((label) -> problem(Count.WRONG, "weights " + label + " are of no accepted bundle"));
	}

	Map<String, Long> figures() {
		Map<String, Long> figures = new TreeMap<>();
		for (Count kind : Count.values()) {
			figures.put(kind.text, of(kind));
		}
		return figures;
	}

	/**
	 * What is counted.
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
