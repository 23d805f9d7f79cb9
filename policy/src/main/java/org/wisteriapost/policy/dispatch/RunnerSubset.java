package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Selects the runners of a service that one entry considers for a request.
 *
 * With hundreds of runners and dozens of entries, each placing some twenty requests per
 * second and placing waiting requests again after each state change, an entry that
 * evaluated every runner would spend its CPU time on remote runners that it would not
 * choose, and respond late. Up to {@value #MAX_UNFILTERED} runners are all considered.
 * Beyond that an entry considers all runners of its own failure domain and
 * {@value #PER_REMOTE_DOMAIN} of each other one. Entries select different ones, so that a
 * burst in one failure domain can use the free capacity of all others.
 */
final class RunnerSubset {

	// Choosing the better of two random runners among 24 is within a few percent of
	// choosing it among all.
	static final int MAX_UNFILTERED = 24;

	static final int PER_REMOTE_DOMAIN = 4;

	private final String failureDomain;

	private final long salt;

	/**
	 * Creates the selector of one entry.
	 * @param salt differs between entries
	 */
	RunnerSubset(String failureDomain, long salt) {
		this.failureDomain = failureDomain;
		this.salt = salt;
	}

	/**
	 * Returns the runners to consider. Adding or removing a runner changes the selection
	 * only slightly.
	 */
	List<RunnerState> select(List<RunnerState> all) {
		if (all.size() <= MAX_UNFILTERED) {
			return all;
		}
		List<RunnerState> chosen = new ArrayList<>();
		Map<String, List<RunnerState>> remote = new HashMap<>();
		for (RunnerState state : all) {
			String failureDomain = state.info.failureDomain();
			(failureDomain.equals(this.failureDomain) ? chosen
					: remote.computeIfAbsent(failureDomain, (name) -> new ArrayList<>()))
				.add(state);
		}
		// Without runners nearby, as while the own failure domain is evacuated, all
		// requests
		// go to remote ones.
		int perRemoteDomain = chosen.isEmpty() ? Math.max(PER_REMOTE_DOMAIN, MAX_UNFILTERED / remote.size())
				: PER_REMOTE_DOMAIN;
		remote.values()
			.forEach((states) -> states.stream()
				.sorted(Comparator.comparingLong(this::hash))
				.limit(perRemoteDomain)
				.forEach(chosen::add));
		return chosen;
	}

	private long hash(RunnerState state) {
		return Hashing.komihash5_0().hashLongLongToLong(this.salt, state.info.id().hashCode());
	}

}
