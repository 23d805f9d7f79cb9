package org.wisteriapost.policy.dispatch;

/**
 * A request that got a final answer without a result, so that its caller may ask again.
 *
 * @param request equal for all attempts of one request
 * @param askedNanos when its caller first asked
 * @param deadlineNanos when its caller gives up
 */
public record RefusedRequest(long request, long askedNanos, long deadlineNanos) {
}
