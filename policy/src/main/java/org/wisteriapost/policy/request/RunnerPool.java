package org.wisteriapost.policy.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The runners of one service, kept so that a step costs the same at ten runners and at
 * thousands: membership of the two lists is corrected when something happens to a runner,
 * never searched for when a request comes.
 *
 * Eligible runners may answer the service's calls by their weights and state. Free ones
 * are eligible and would take a call from this entry now.
 */
final class RunnerPool {

	/** Prefixes remembered; a hint only, so old ones may be forgotten. */
	private static final int PREFIXES = 8192;

	final WorkRate rate = new WorkRate();

	/** Share of the raised limits that lately held, 0 to 1. */
	double raiseHeld;

	private final List<RunnerState> eligible = new ArrayList<>();

	private final List<RunnerState> free = new ArrayList<>();

	private final Map<Long, RunnerState> prefixes = new LinkedHashMap<>(64, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, RunnerState> eldest) {
			return size() > PREFIXES;
		}

	};

	private int ejected;

	private int ramping;

	private int inFlight;

	private int longInFlight;

	private int slots;

	List<RunnerState> eligible() {
		return this.eligible;
	}

	List<RunnerState> free() {
		return this.free;
	}

	/**
	 * Returns how many runners are ejected now.
	 */
	int ejected() {
		return this.ejected;
	}

	void countEjected(int by) {
		this.ejected += by;
	}

	/**
	 * Returns how many runners are in slow start now.
	 */
	int ramping() {
		return this.ramping;
	}

	void countRamping(int by) {
		this.ramping += by;
	}

	/**
	 * Returns this entry's calls in flight at the service.
	 */
	int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the calls that this entry may have in flight at the service.
	 */
	int slots() {
		return this.slots;
	}

	void countSlots(RunnerState runner, int now) {
		this.slots += now - runner.slots;
		runner.slots = now;
	}

	int longInFlight() {
		return this.longInFlight;
	}

	void countInFlight(int by, boolean longOne) {
		this.inFlight += by;
		this.longInFlight += longOne ? by : 0;
	}

	void setEligible(RunnerState runner, boolean in) {
		if (in && runner.eligibleIndex < 0) {
			runner.eligibleIndex = this.eligible.size();
			this.eligible.add(runner);
		}
		else if (!in && runner.eligibleIndex >= 0) {
			RunnerState moved = this.eligible.removeLast();
			if (moved != runner) {
				this.eligible.set(runner.eligibleIndex, moved);
				moved.eligibleIndex = runner.eligibleIndex;
			}
			runner.eligibleIndex = -1;
		}
	}

	void setFree(RunnerState runner, boolean in) {
		if (in && runner.freeIndex < 0) {
			runner.freeIndex = this.free.size();
			this.free.add(runner);
		}
		else if (!in && runner.freeIndex >= 0) {
			RunnerState moved = this.free.removeLast();
			if (moved != runner) {
				this.free.set(runner.freeIndex, moved);
				moved.freeIndex = runner.freeIndex;
			}
			runner.freeIndex = -1;
		}
	}

	/**
	 * Notes that a runner is likely to have a prompt prefix in its cache.
	 */
	void notePrefix(long prefix, RunnerState runner) {
		if (prefix != 0) {
			this.prefixes.put(prefix, runner);
		}
	}

	/**
	 * Returns the runner that is likely to have a prefix, if it is free.
	 */
	Optional<RunnerState> freeWithPrefix(long prefix) {
		if (prefix == 0) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.prefixes.get(prefix)).filter((runner) -> runner.freeIndex >= 0);
	}

}
