package org.wisteriapost.policy.request;

/**
 * Attributes of a request that the policy decides by; its body stays in the I/O layer.
 *
 * @param id unique in this process
 * @param organisation the organisation whose share of the slots it uses
 * @param service the called service
 * @param priority urgency to the caller
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param idempotent whether it may run more than once
 * @param prefix hash of the prompt's prefix for cache affinity, 0 for none
 * @param cost expected work in units of an ordinary short request, at least 1
 */
public record Request(long id, String organisation, String service, Priority priority, long deadlineNanos,
		boolean idempotent, long prefix, int cost) {
}
