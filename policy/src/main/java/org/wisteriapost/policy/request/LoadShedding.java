package org.wisteriapost.policy.request;

import java.util.Optional;

import org.wisteriapost.kernel.Code;

/**
 * Decides which requests are dropped when the queue of a service fills up.
 *
 * Load: saturation with deadlines so long that {@link AdmissionControl} admits
 * everything. Harm prevented: memory use grows with the backlog, and bulk work fills the
 * queue before urgent requests arrive.
 *
 * Bulk requests are refused once half of the queue is in use, which reserves the rest for
 * more urgent ones. The queue of each organisation is bounded. In a full queue, a new
 * request replaces a less urgent one or, within its class, the newest request of the
 * organisation furthest ahead of its share, if that is further ahead than its own.
 */
final class LoadShedding {

	static final Code SHED = Code.refusal("shed", "The service is saturated and less urgent work gives way.");

	static final Code QUEUE_FULL = Code.refusal("queue-full", "The organisation has as much work waiting as it may.");

	private LoadShedding() {
	}

	/**
	 * Returns why a new request is refused, or empty when it may be queued, after
	 * {@link #victim} has been removed if there is one.
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
	 * Returns the waiting request to drop for a new one; empty while the queue is not
	 * full.
	 */
	static Optional<PendingRequest> victim(Request request, FairQueue queue, RequestPolicySettings settings) {
		if (queue.size() < settings.queuePerService()) {
			return Optional.empty();
		}
		return queue.shedCandidate(request.priority()).filter((last) -> yieldsTo(last.request, request, queue));
	}

	private static boolean yieldsTo(Request candidate, Request request, FairQueue queue) {
		if (candidate.priority() != request.priority()) {
			return true;
		}
		return queue.isFurtherAhead(candidate.organisation(), request.organisation());
	}

}
