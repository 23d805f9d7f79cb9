package org.wisteriapost.policy.dispatch;

/**
 * A request that ended without a result and may be retried by its caller.
 *
 * @param request a key that is equal for all attempts of the request
 * @param askedNanos the arrival time of the first attempt
 * @param deadlineNanos the deadline of the caller
 */
public record RefusedRequest(long request, long askedNanos, long deadlineNanos) {
}
