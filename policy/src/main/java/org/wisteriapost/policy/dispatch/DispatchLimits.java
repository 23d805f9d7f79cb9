package org.wisteriapost.policy.dispatch;

import java.time.Duration;

import org.wisteriapost.policy.coldstart.ColdStartBound;
import org.wisteriapost.policy.region.RegionMap;

/**
 * Limits that apply to the dispatch decisions of an entry.
 *
 * @param failureDomain the failure domain of the entry
 * @param retryRatio retries allowed per request, as a fraction, over all entries
 * @param fixedRetriesPerWindow additional retries allowed in each window, over all
 * entries
 * @param retryWindow the window in which the additional retries are counted
 * @param weightsActivationDelay the time from the publication of a target weights version
 * until no request may start on an older version
 * @param regions the region of each failure domain
 * @param coldStartBound limit on the requests to cold runners
 * @param finalRefusals whether a caller is told when to retry only if free capacity is
 * forecast
 */
public record DispatchLimits(String failureDomain, double retryRatio, int fixedRetriesPerWindow, Duration retryWindow,
		Duration weightsActivationDelay, RegionMap regions, ColdStartBound coldStartBound, boolean finalRefusals) {

	/**
	 * Creates limits of a site without known regions.
	 */
	public DispatchLimits(String failureDomain, double retryRatio, int fixedRetriesPerWindow, Duration retryWindow,
			Duration weightsActivationDelay) {
		this(failureDomain, retryRatio, fixedRetriesPerWindow, retryWindow, weightsActivationDelay, RegionMap.NONE,
				ColdStartBound.STRICT, false);
	}

	/**
	 * Returns these limits with or without final refusals.
	 */
	public DispatchLimits withFinalRefusals(boolean finalRefusals) {
		return new DispatchLimits(this.failureDomain, this.retryRatio, this.fixedRetriesPerWindow, this.retryWindow,
				this.weightsActivationDelay, this.regions, this.coldStartBound, finalRefusals);
	}

}
