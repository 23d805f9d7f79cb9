package org.wisteriapost.policy.request;

import java.util.List;

import org.wisteriapost.kernel.Invariants;

/**
 * Holds a slot of a runner for a request, sends the request there and gives the slot
 * back.
 *
 * A non-idempotent request gets its runner first and its claim second: a claim costs a
 * write in the platform, and one made before admission would be spent on a request that
 * is then refused. It is sent only once it is claimed, and a second time only after the
 * first was certainly not run; the check stands here, directly before the effect, because
 * every path to a runner passes here.
 */
final class Dispatch {

	private final Invariants invariants;

	Dispatch(Invariants invariants) {
		this.invariants = invariants;
	}

	/**
	 * Counts a slot of the runner for the request.
	 */
	void reserve(Flight flight, RunnerState runner, ServiceState service) {
		flight.runner = runner;
		runner.inFlight++;
		service.pool.countInFlight(1, service.isLong(flight.request));
	}

	/**
	 * Gives the slot back.
	 */
	RunnerState release(Flight flight, ServiceState service) {
		RunnerState runner = flight.runner;
		flight.runner = null;
		flight.lastRunner = runner.name;
		if (this.invariants.holds(runner.inFlight > 0, "in-flight-not-negative", runner.name)) {
			runner.inFlight--;
			service.pool.countInFlight(-1, service.isLong(flight.request));
		}
		return runner;
	}

	/**
	 * Asks for the claim, or sends when none is needed any more.
	 * @return false when sending would break a promise
	 */
	boolean send(Flight flight, long nowNanos, List<RequestEffect> effects) {
		if (!flight.request.idempotent() && !flight.claimed) {
			flight.stage = Flight.Stage.CLAIMING;
			effects.add(new RequestEffect.Claim(flight.id()));
			return true;
		}
		boolean safe = flight.request.idempotent() || !flight.mayHaveRun();
		if (!this.invariants.holds(safe, "at-most-once", "request " + flight.id())) {
			return false;
		}
		flight.stage = Flight.Stage.DISPATCHED;
		flight.dispatchedNanos = nowNanos;
		flight.dispatches++;
		flight.uncertain++;
		RunnerState runner = flight.runner;
		effects.add(new RequestEffect.Dispatch(flight.id(), runner.name, runner.view.weightsDigest()));
		return true;
	}

}
