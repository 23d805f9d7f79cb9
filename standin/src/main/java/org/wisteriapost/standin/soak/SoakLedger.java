package org.wisteriapost.standin.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.wisteriapost.kernel.Invariants;

/**
 * Records what runners executed and checks it against the outcomes that callers received
 * and the rollouts that took effect.
 */
final class SoakLedger {

	private static final long CONTACT_NANOS = 3 * VirtualTime.SECOND;

	private static final int MAX_POISON_CRASHES = 3;

	private static final int MAX_LATE_POISON_STARTS = 3;

	private final Invariants invariants;

	private final Map<String, Integer> runsByRequest = new HashMap<>();

	private final Map<String, Integer> runsByKey = new HashMap<>();

	private final Map<String, String> answersByKey = new HashMap<>();

	private final Set<String> notRunRequests = new HashSet<>();

	private final Map<String, Long> generationByWeights = new LinkedHashMap<>();

	private final Map<String, Long> servedGenerationByVm = new HashMap<>();

	private final Set<String> undisturbedPoison = new HashSet<>();

	private final List<Long> poisonCrashes = new ArrayList<>();

	private final Map<String, Long> counts = new TreeMap<>();

	private int latePoisonStarts;

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

	/**
	 * Records an attempt of the request that crashes runners, at an entry that was never
	 * paused.
	 * @param aliveNanos how long the entry has run
	 */
	void recordUndisturbedPoison(String requestId, long aliveNanos) {
		if (aliveNanos >= CONTACT_NANOS) {
			this.undisturbedPoison.add(requestId);
		}
	}

	void recordPoisonCrash(long nowNanos) {
		count("poisonCrashes");
		this.poisonCrashes.add(nowNanos);
	}

	/**
	 * Records that a runner starts the request that crashes it. Few undisturbed entries
	 * may send it some time after it has crashed three runners.
	 */
	void recordPoisonStart(String requestId, long nowNanos) {
		boolean late = this.poisonCrashes.size() >= MAX_POISON_CRASHES
				&& nowNanos - this.poisonCrashes.get(MAX_POISON_CRASHES - 1) > CONTACT_NANOS;
		if (late && this.undisturbedPoison.contains(requestId)) {
			this.latePoisonStarts++;
			this.invariants.holds(this.latePoisonStarts <= MAX_LATE_POISON_STARTS, "poison-is-stopped", requestId);
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
