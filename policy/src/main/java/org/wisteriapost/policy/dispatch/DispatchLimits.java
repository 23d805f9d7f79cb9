package org.wisteriapost.policy.dispatch;

import java.time.Duration;

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
 */
public record DispatchLimits(String failureDomain, double retryRatio, int fixedRetriesPerWindow, Duration retryWindow,
		Duration weightsActivationDelay) {
}
