package org.wisteriapost.policy.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The runners of one service. Operations cost the same whatever the number of runners:
 * the lists of eligible and free runners are updated when the state of a runner changes
 * and not searched for each request.
 *
 * Eligible runners may serve the service by their weights and status. Free ones are
 * eligible and can take a call from this entry now.
 */
final class RunnerPool {

	/**
	 * Bound of the prefix map. Entries are hints, so that the least recently used may be
	 * evicted.
	 */
	private static final int MAX_PREFIXES = 8192;

	final ServiceTimeEstimate serviceTime = new ServiceTimeEstimate();

	/** Smoothed share of the raised limits that no gate refused, 0 to 1. */
	double heldRaiseShare;

	private final List<RunnerState> eligible = new ArrayList<>();

	private final List<RunnerState> free = new ArrayList<>();

	private final Map<Long, RunnerState> prefixes = new LinkedHashMap<>(64, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, RunnerState> eldest) {
			return size() > MAX_PREFIXES;
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

	int ejected() {
		return this.ejected;
	}

	void addEjected(int delta) {
		this.ejected += delta;
	}

	/**
	 * Returns the number of runners in slow start.
	 */
	int ramping() {
		return this.ramping;
	}

	void addRamping(int delta) {
		this.ramping += delta;
	}

	int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the number of calls that this entry may have in flight at the service.
	 */
	int slots() {
		return this.slots;
	}

	void setSlots(RunnerState runner, int allowed) {
		this.slots += allowed - runner.countedSlots;
		runner.countedSlots = allowed;
	}

	int longInFlight() {
		return this.longInFlight;
	}

	void addInFlight(int delta, boolean longRequest) {
		this.inFlight += delta;
		this.longInFlight += longRequest ? delta : 0;
	}

	void setEligible(RunnerState runner, boolean member) {
		if (member && runner.eligibleIndex < 0) {
			runner.eligibleIndex = this.eligible.size();
			this.eligible.add(runner);
		}
		else if (!member && runner.eligibleIndex >= 0) {
			RunnerState moved = this.eligible.removeLast();
			if (moved != runner) {
				this.eligible.set(runner.eligibleIndex, moved);
				moved.eligibleIndex = runner.eligibleIndex;
			}
			runner.eligibleIndex = -1;
		}
	}

	void setFree(RunnerState runner, boolean member) {
		if (member && runner.freeIndex < 0) {
			runner.freeIndex = this.free.size();
			this.free.add(runner);
		}
		else if (!member && runner.freeIndex >= 0) {
			RunnerState moved = this.free.removeLast();
			if (moved != runner) {
				this.free.set(runner.freeIndex, moved);
				moved.freeIndex = runner.freeIndex;
			}
			runner.freeIndex = -1;
		}
	}

	/**
	 * Records that a runner probably has a prompt prefix in its cache.
	 */
	void recordPrefix(long prefix, RunnerState runner) {
		if (prefix != 0) {
			this.prefixes.put(prefix, runner);
		}
	}

	/**
	 * Returns the runner that probably has the prefix cached, if it is free.
	 */
	Optional<RunnerState> freeWithPrefix(long prefix) {
		if (prefix == 0) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.prefixes.get(prefix)).filter((runner) -> runner.freeIndex >= 0);
	}

}
