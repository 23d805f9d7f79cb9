package org.wisteriapost.policy.ratelimit;

import java.util.OptionalDouble;

/**
 * A change of the limit that a runner names, as far as this entry knows.
 *
 * @param runnerId the runner
 * @param perSecond the requests a second that it takes from all entries together; empty
 * for no limit
 * @param share the share of it that this entry may use
 * @param source from whom it is known
 */
public record RateLimitChange(String runnerId, OptionalDouble perSecond, double share, RateLimitSource source) {
}
