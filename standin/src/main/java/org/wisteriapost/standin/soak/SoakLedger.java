package org.wisteriapost.standin.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.wisteriapost.kernel.Invariants;

/**
 * Records what runners executed and checks it against the outcomes that callers received
 * and the rollouts that took effect.
 */
final class SoakLedger {

	private final Invariants invariants;

	private final Map<String, Integer> runsByRequest = new HashMap<>();

	private final Map<String, Integer> runsByKey = new HashMap<>();

	private final Map<String, String> answersByKey = new HashMap<>();

	private final Set<String> notRunRequests = new HashSet<>();

	private final Map<String, Long> generationByWeights = new LinkedHashMap<>();

	private final Map<String, Long> servedGenerationByVm = new HashMap<>();

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
	 * Records that a runner has started a call.
	 */
	void recordStart(String requestId, String key) {
		this.runsByRequest.merge(requestId, 1, Integer::sum);
		this.invariants.holds(!this.notRunRequests.contains(requestId), "not-run-did-not-run", requestId);
		if (!key.isEmpty()) {
			int runs = this.runsByKey.merge(key, 1, Integer::sum);
			this.invariants.holds(runs == 1, "at-most-once", key + " ran " + runs + " times");
		}
	}

	void recordNotRun(String requestId) {
		this.notRunRequests.add(requestId);
		this.invariants.holds(!this.runsByRequest.containsKey(requestId), "not-run-did-not-run", requestId);
	}

	/**
	 * Records the answer of a call with an idempotency key.
	 */
	void recordAnswer(String key, String answer) {
		String first = this.answersByKey.putIfAbsent(key, answer);
		this.invariants.holds(first == null || first.equals(answer), "one-answer-per-key", key);
	}

	/**
	 * Records a rollout that took effect.
	 */
	void recordRollout(long generation, String weights) {
		this.generationByWeights.put(weights, generation);
	}

	/**
	 * Records that a VM forwards an answer of these weights.
	 */
	void recordServedWeights(String vm, String weights) {
		Long generation = this.generationByWeights.get(weights);
		if (!this.invariants.holds(generation != null, "accepted-weights", vm + " " + weights)) {
			return;
		}
		long newest = this.servedGenerationByVm.merge(vm, generation, Math::max);
		this.invariants.holds(generation >= newest, "no-revert", vm + " " + newest + " to " + generation);
	}

}
