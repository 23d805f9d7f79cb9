package org.wisteriapost.policy.routing;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes of a request's head
 * @param maxBodyBytes of a request's body
 * @param headerTimeout until a request's head is whole
 * @param idleTimeout between requests on one connection
 */
public record CallLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
}
