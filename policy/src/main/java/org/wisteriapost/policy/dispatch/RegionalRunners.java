package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.policy.region.AllowedRegions;
import org.wisteriapost.policy.region.RegionMap;

/**
 * The runners of a service that a request may be sent to: those in its allowed regions
 * and outside evacuated failure domains.
 *
 * The runners that an entry considers are selected among these. Otherwise an entry in
 * another region or in an evacuated failure domain would use only a few of them, and
 * would expect free slots at runners that the request can't be sent to.
 */
final class RegionalRunners {

	private final RunnerRegistry registry;

	private final RegionMap regions;

	private final RunnerEligibility eligibility;

	private final EvacuatedRunners evacuated;

	// A service may have thousands of runners, which would be filtered for each
	// placement.
	private final Map<Key, Selection> cache = new HashMap<>();

	private long cachedVersion;

	RegionalRunners(RunnerRegistry registry, RegionMap regions, RunnerEligibility eligibility,
			EvacuatedRunners evacuated) {
		this.registry = registry;
		this.regions = regions;
		this.eligibility = eligibility;
		this.evacuated = evacuated;
	}

	/**
	 * Returns the runners of the request's service in its allowed regions, without those
	 * in evacuated failure domains.
	 */
	List<RunnerState> all(Job job) {
		return filtered(job.allowedRegions()) ? selection(job.service(), job.allowedRegions()).all()
				: this.registry.forService(job.service());
	}

	/**
	 * Returns those runners that this entry considers for the request.
	 */
	List<RunnerState> candidates(Job job) {
		return filtered(job.allowedRegions()) ? selection(job.service(), job.allowedRegions()).candidates()
				: this.registry.candidates(job.service());
	}

	/**
	 * Returns the number of runners of the request's service in all regions. The share of
	 * one entry in the slots of some regions is estimated by that of all regions, since
	 * the entries elsewhere send few requests there.
	 */
	int serviceSize(Job job) {
		return filtered(AllowedRegions.ANY) ? selection(job.service(), AllowedRegions.ANY).all().size()
				: this.registry.forService(job.service()).size();
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
				&& selection(job.service(), allowed).all().stream().allMatch(this.eligibility::withdrawn));
	}

	private boolean filtered(AllowedRegions allowed) {
		return allowed.restricted() || !this.evacuated.evacuations().isEmpty();
	}

	private Selection selection(String service, AllowedRegions allowed) {
		if (this.cachedVersion != this.registry.indexVersion()) {
			this.cache.clear();
			this.cachedVersion = this.registry.indexVersion();
		}
		return this.cache.computeIfAbsent(new Key(service, allowed, this.evacuated.evacuations().failureDomains()),
				this::select);
	}

	private Selection select(Key key) {
		List<RunnerState> all = this.registry.forService(key.service())
			.stream()
			.filter((runner) -> this.regions.permits(key.allowed(), runner.info.failureDomain())
					&& !key.evacuated().contains(runner.info.failureDomain()))
			.toList();
		return new Selection(all, this.registry.candidates(all));
	}

	private record Key(String service, AllowedRegions allowed, Set<String> evacuated) {
	}

	private record Selection(List<RunnerState> all, List<RunnerState> candidates) {
	}

}
