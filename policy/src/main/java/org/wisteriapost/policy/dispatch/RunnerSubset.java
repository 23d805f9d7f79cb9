package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Which runners of a service one entry looks at for a request.
 *
 * Load: hundreds of runners, some twenty requests a second at each of dozens of entries,
 * and every request that waits looks again when something has changed. Harm prevented:
 * the entry spends its processor on runners in other places that it would not choose, and
 * answers late. Up to {@value #MOST_WHOLE} runners all are looked at; beyond that all of
 * the entry's place and {@value #PER_OTHER_PLACE} of each other place, each entry
 * different ones, so that a burst in one place finds free room in all others.
 */
final class RunnerSubset {

	// The better of two out of 24 is within a few percent of the better of two out of
	// all.
	static final int MOST_WHOLE = 24;

	static final int PER_OTHER_PLACE = 4;

	private final String place;

	private final long salt;

	/**
	 * Returns the subset of one entry.
	 * @param salt differs from entry to entry
	 */
	RunnerSubset(String place, long salt) {
		this.place = place;
		this.salt = salt;
	}

	/**
	 * Returns the runners to look at; one that comes or goes changes little of them.
	 */
	List<RunnerState> of(List<RunnerState> all) {
		if (all.size() <= MOST_WHOLE) {
			return all;
		}
		List<RunnerState> chosen = new ArrayList<>();
		Map<String, List<RunnerState>> elsewhere = new HashMap<>();
		for (RunnerState state : all) {
			String there = state.info.place();
			(there.equals(this.place) ? chosen : elsewhere.computeIfAbsent(there, (name) -> new ArrayList<>()))
				.add(state);
		}
		elsewhere.values()
			.forEach((states) -> states.stream()
				.sorted(Comparator.comparingLong(this::weight))
				.limit(PER_OTHER_PLACE)
				.forEach(chosen::add));
		return chosen;
	}

	private long weight(RunnerState state) {
		return Hashing.komihash5_0().hashLongLongToLong(this.salt, state.info.id().hashCode());
	}

}
