package org.wisteriapost.policy.request;

import java.util.Optional;

import org.wisteriapost.kernel.Code;

/**
 * Returns what gives way when the queue of a service fills up.
 *
 * Load: saturation with deadlines so long that admission by time lets everything in. Harm
 * prevented: memory that grows with the backlog, and bulk work that fills the queue
 * before the urgent requests come.
 *
 * Bulk work is refused from half of the queue on, so that the rest is there for those who
 * cannot wait. One organisation can fill its own part only. A full queue takes a more
 * urgent request in place of a less urgent one, and among equals takes one in place of
 * the newest of the organisation furthest ahead of its share.
 */
final class Shedding {

	static final Code SHED = Code.refusal("shed", "The service is saturated and less urgent work gives way.");

	static final Code QUEUE_FULL = Code.refusal("queue-full", "The organisation has as much work waiting as it may.");

	private Shedding() {
	}

	/**
	 * Returns why a new request is refused, or empty when it may be queued, perhaps after
	 * {@link #victim} has made room.
	 */
	static Optional<Code> refuse(Request request, FairQueue queue, RequestPolicySettings settings) {
		if (queue.size(request.organisation()) >= settings.queuePerOrganisation()) {
			return Optional.of(QUEUE_FULL);
		}
		if (request.priority() == Priority.BULK && queue.size() * 2 >= settings.queuePerService()) {
			return Optional.of(SHED);
		}
		if (queue.size() >= settings.queuePerService() && victim(request, queue, settings).isEmpty()) {
			return Optional.of(SHED);
		}
		return Optional.empty();
	}

	/**
	 * Returns the waiting request that gives way to a new one; empty while there is room.
	 */
	static Optional<Flight> victim(Request request, FairQueue queue, RequestPolicySettings settings) {
		if (queue.size() < settings.queuePerService()) {
			return Optional.empty();
		}
		return queue.last(request.priority()).filter((last) -> givesWay(last.request, request, queue));
	}

	private static boolean givesWay(Request last, Request request, FairQueue queue) {
		if (last.priority() != request.priority()) {
			return true;
		}
		return queue.ahead(last.organisation(), request.organisation());
	}

}
