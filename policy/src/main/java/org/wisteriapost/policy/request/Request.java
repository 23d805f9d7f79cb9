package org.wisteriapost.policy.request;

/**
 * What the decisions need to know of a request; its body stays with the I/O layer.
 *
 * @param id unique in this process
 * @param organisation who pays
 * @param service which service is called
 * @param priority the caller's urgency
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param idempotent whether it may run more than once
 * @param prefix hash of the prompt's prefix for cache affinity, 0 for none
 * @param cost expected work, in units of an ordinary short request, at least 1
 */
public record Request(long id, String organisation, String service, Priority priority, long deadlineNanos,
		boolean idempotent, long prefix, int cost) {
}
