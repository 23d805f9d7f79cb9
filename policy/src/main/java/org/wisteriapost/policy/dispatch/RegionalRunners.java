package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.region.AllowedRegions;
import org.wisteriapost.policy.region.RegionMap;

/**
 * The runners of a service in the regions that a request may be handled in.
 *
 * The runners that an entry considers are selected among those in the allowed regions: an
 * entry elsewhere would otherwise use only a few of them.
 */
final class RegionalRunners {

	private final RunnerRegistry registry;

	private final RegionMap regions;

	private final RunnerEligibility eligibility;

	// A service may have thousands of runners, which would be filtered for each
	// placement.
	private final Map<Key, Selection> cache = new HashMap<>();

	private long cachedVersion;

	RegionalRunners(RunnerRegistry registry, RegionMap regions, RunnerEligibility eligibility) {
		this.registry = registry;
		this.regions = regions;
		this.eligibility = eligibility;
	}

	/**
	 * Returns the runners of the request's service in its allowed regions.
	 */
	List<RunnerState> all(Job job) {
		return job.allowedRegions().restricted() ? selection(job).all() : this.registry.forService(job.service());
	}

	/**
	 * Returns those runners that this entry considers for the request.
	 */
	List<RunnerState> candidates(Job job) {
		return job.allowedRegions().restricted() ? selection(job).candidates()
				: this.registry.candidates(job.service());
	}

	/**
	 * Returns the number of runners of the request's service in all regions. The share of
	 * one entry in the slots of some regions is estimated by that of all regions, since
	 * the entries elsewhere send few requests there.
	 */
	int serviceSize(Job job) {
		return this.registry.forService(job.service()).size();
	}

	/**
	 * Returns whether no runner can be used because of the request's allowed regions.
	 * While no runner of any service is known, the entry may not have read them yet and
	 * the request waits as it would without a restriction.
	 */
	boolean unavailable(Job job) {
		AllowedRegions allowed = job.allowedRegions();
		if (!allowed.restricted()) {
			return false;
		}
		return allowed.names().get().isEmpty() || (!this.registry.states().isEmpty()
				&& selection(job).all().stream().allMatch(this.eligibility::withdrawn));
	}

	private Selection selection(Job job) {
		if (this.cachedVersion != this.registry.indexVersion()) {
			this.cache.clear();
			this.cachedVersion = this.registry.indexVersion();
		}
		return this.cache.computeIfAbsent(new Key(job.service(), job.allowedRegions()), this::select);
	}

	private Selection select(Key key) {
		List<RunnerState> all = this.registry.forService(key.service())
			.stream()
			.filter((runner) -> this.regions.permits(key.allowed(), runner.info.failureDomain()))
			.toList();
		return new Selection(all, this.registry.candidates(all));
	}

	private record Key(String service, AllowedRegions allowed) {
	}

	private record Selection(List<RunnerState> all, List<RunnerState> candidates) {
	}

}
