package org.wisteriapost.standin.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.wisteriapost.kernel.Invariants;

/**
 * What truly happened at the runners, against what callers and operators were told.
 */
final class SoakLedger {

	private final Invariants invariants;

	private final Map<String, Integer> runsByRequest = new HashMap<>();

	private final Map<String, Integer> runsByKey = new HashMap<>();

	private final Map<String, String> answersByKey = new HashMap<>();

	private final Set<String> toldNotRun = new HashSet<>();

	private final Map<String, Long> generations = new LinkedHashMap<>();

	private final Map<String, Long> served = new HashMap<>();

	private final Map<String, Long> counts = new TreeMap<>();

	SoakLedger(Invariants invariants) {
		this.invariants = invariants;
	}

	Invariants invariants() {
		return this.invariants;
	}

	void count(String what) {
		this.counts.merge(what, 1L, Long::sum);
	}

	Map<String, Long> counts() {
		return this.counts;
	}

	/**
	 * Notes that a runner has begun a call.
	 */
	void ran(String requestId, String key) {
		this.runsByRequest.merge(requestId, 1, Integer::sum);
		this.invariants.holds(!this.toldNotRun.contains(requestId), "not-run-did-not-run", requestId);
		if (!key.isEmpty()) {
			int runs = this.runsByKey.merge(key, 1, Integer::sum);
			this.invariants.holds(runs == 1, "at-most-once", key + " ran " + runs + " times");
		}
	}

	void toldNotRun(String requestId) {
		this.toldNotRun.add(requestId);
		this.invariants.holds(!this.runsByRequest.containsKey(requestId), "not-run-did-not-run", requestId);
	}

	/**
	 * Notes the answer of a call that may run at most once.
	 */
	void answered(String key, String answer) {
		String first = this.answersByKey.putIfAbsent(key, answer);
		this.invariants.holds(first == null || first.equals(answer), "one-answer-per-key", key);
	}

	/**
	 * Notes a roll that took effect.
	 */
	void rolled(long generation, String weights) {
		this.generations.put(weights, generation);
	}

	/**
	 * Notes that a VM passes on an answer of these weights.
	 */
	void serves(String vm, String weights) {
		Long generation = this.generations.get(weights);
		if (!this.invariants.holds(generation != null, "accepted-weights", vm + " " + weights)) {
			return;
		}
		long before = this.served.merge(vm, generation, Math::max);
		this.invariants.holds(generation >= before, "no-revert", vm + " " + before + " to " + generation);
	}

}
