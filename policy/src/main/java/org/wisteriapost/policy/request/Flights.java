package org.wisteriapost.policy.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.wisteriapost.kernel.Invariants;

/**
 * All requests that have no final answer yet, and the only way to give one.
 *
 * A request leaves this set with its one final answer, so that whatever comes for it
 * later, or twice, finds nothing to act on.
 */
final class Flights {

	private final Invariants invariants;

	private final Map<Long, Flight> flights = new HashMap<>();

	private final TreeSet<Flight> deadlines = new TreeSet<>(
			Comparator.<Flight>comparingLong((flight) -> flight.request.deadlineNanos()).thenComparing(Flight::id));

	Flights(Invariants invariants) {
		this.invariants = invariants;
	}

	int size() {
		return this.flights.size();
	}

	Optional<Flight> get(long id) {
		return Optional.ofNullable(this.flights.get(id));
	}

	/**
	 * Adds a new request; empty when its id is in use.
	 */
	Optional<Flight> add(Request request) {
		boolean fresh = !this.flights.containsKey(request.id());
		if (!this.invariants.holds(fresh, "request-arrives-once", "request " + request.id())) {
			return Optional.empty();
		}
		Flight flight = new Flight(request);
		this.flights.put(request.id(), flight);
		this.deadlines.add(flight);
		return Optional.of(flight);
	}

	/**
	 * Returns the first request whose deadline has passed.
	 */
	Optional<Flight> expired(long nowNanos) {
		if (this.deadlines.isEmpty() || this.deadlines.first().request.deadlineNanos() > nowNanos) {
			return Optional.empty();
		}
		return Optional.of(this.deadlines.first());
	}

	/**
	 * Forgets a request that has ended.
	 */
	boolean remove(Flight flight) {
		this.deadlines.remove(flight);
		return this.flights.remove(flight.id(), flight);
	}

	/**
	 * Answers a request that did not end whole: <em>not run</em> when that is certain,
	 * otherwise <em>unknown</em>.
	 */
	void answer(Flight flight, String code, long retryAfterMillis, List<RequestEffect> effects) {
		boolean open = remove(flight);
		if (!this.invariants.holds(open, "one-final-answer", "request " + flight.id())) {
			return;
		}
		if (flight.mayHaveRun()) {
			effects.add(new RequestEffect.GiveUp(flight.id(), code));
			return;
		}
		effects.add(new RequestEffect.Refuse(flight.id(), code, retryAfterMillis));
	}

}
