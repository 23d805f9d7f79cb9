package org.wisteriapost.policy.coldstart;

import java.time.Duration;
import java.util.Optional;

/**
 * A change of what this entry believes of a runner.
 *
 * @param runnerId the runner
 * @param reason why it counts as cold; empty if it is warm again
 * @param remaining for how much longer it counts as cold
 * @param permits the requests that this entry may send to it in each window
 * @param entries the entries that share the permits
 */
public record ColdChange(String runnerId, Optional<ColdPeriod.Reason> reason, Duration remaining, int permits,
		int entries) {
}
