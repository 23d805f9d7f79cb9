package org.wisteriapost.policy.routing;

import java.time.Duration;

/**
 * Limits on the size and the duration of calls.
 *
 * @param maxHeaderBytes the size of a request's header section
 * @param maxBodyBytes the size of a request's body
 * @param headerTimeout until a request's header section is complete
 * @param idleTimeout the time between requests on one connection
 */
public record CallLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
}
