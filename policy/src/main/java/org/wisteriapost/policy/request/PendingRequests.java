package org.wisteriapost.policy.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.wisteriapost.kernel.Invariants;

/**
 * All requests without a final answer.
 *
 * A request is removed with its final answer, so that late or duplicate events for it are
 * ignored.
 */
final class PendingRequests {

	private final Invariants invariants;

	private final Map<Long, PendingRequest> byId = new HashMap<>();

	private final TreeSet<PendingRequest> deadlines = new TreeSet<>(
			Comparator.<PendingRequest>comparingLong((pending) -> pending.request.deadlineNanos())
				.thenComparing(PendingRequest::id));

	PendingRequests(Invariants invariants) {
		this.invariants = invariants;
	}

	int size() {
		return this.byId.size();
	}

	Optional<PendingRequest> get(long id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Adds a new request, or returns empty if its id is in use.
	 */
	Optional<PendingRequest> add(Request request) {
		boolean newId = !this.byId.containsKey(request.id());
		if (!this.invariants.holds(newId, "request-arrives-once", "request " + request.id())) {
			return Optional.empty();
		}
		PendingRequest pending = new PendingRequest(request);
		this.byId.put(request.id(), pending);
		this.deadlines.add(pending);
		return Optional.of(pending);
	}

	/**
	 * Returns the request with the earliest deadline if that has passed.
	 */
	Optional<PendingRequest> firstExpired(long nowNanos) {
		if (this.deadlines.isEmpty() || this.deadlines.first().request.deadlineNanos() > nowNanos) {
			return Optional.empty();
		}
		return Optional.of(this.deadlines.first());
	}

	boolean remove(PendingRequest pending) {
		this.deadlines.remove(pending);
		return this.byId.remove(pending.id(), pending);
	}

	/**
	 * Gives the final answer of a request without a complete response: <em>not run</em>
	 * if that is certain, otherwise <em>unknown</em>.
	 */
	void answerFailed(PendingRequest pending, String code, long retryAfterMillis, List<RequestEffect> effects) {
		boolean removed = remove(pending);
		if (!this.invariants.holds(removed, "one-final-answer", "request " + pending.id())) {
			return;
		}
		if (pending.mayHaveRun()) {
			effects.add(new RequestEffect.AnswerUnknown(pending.id(), code));
			return;
		}
		effects.add(new RequestEffect.Refuse(pending.id(), code, retryAfterMillis));
	}

}
