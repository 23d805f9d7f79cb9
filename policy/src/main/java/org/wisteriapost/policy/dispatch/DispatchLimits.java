package org.wisteriapost.policy.dispatch;

import java.time.Duration;

/**
 * Bounds of an entry's decisions.
 *
 * @param place the entry's failure domain
 * @param retryShare requests sent again, as a share of all, over all entries
 * @param retryExtra more of them in one window, over all entries
 * @param retryWindow the window in which they are counted
 * @param weightsInForce from naming weights until no request may start on older ones
 */
public record DispatchLimits(String place, double retryShare, int retryExtra, Duration retryWindow,
		Duration weightsInForce) {
}
