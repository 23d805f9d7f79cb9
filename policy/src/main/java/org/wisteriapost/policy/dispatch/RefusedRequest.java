package org.wisteriapost.policy.dispatch;

/**
 * A request that ended without a result and may be retried by its caller.
 *
 * @param requestKey a key that is equal for all attempts of the request
 * @param firstAttemptNanos the arrival time of the first attempt
 * @param deadlineNanos the deadline of the caller
 */
public record RefusedRequest(long requestKey, long firstAttemptNanos, long deadlineNanos) {
}
