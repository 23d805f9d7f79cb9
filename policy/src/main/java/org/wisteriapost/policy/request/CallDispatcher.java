package org.wisteriapost.policy.request;

import java.util.List;

import org.wisteriapost.kernel.Invariants;

/**
 * Reserves a runner's slot for a request, sends the request and releases the slot.
 *
 * A non-idempotent request first reserves a runner and then claims its idempotency key: a
 * claim costs a write in the platform, which would be wasted on a request that is refused
 * afterwards. It is sent only once the key is claimed, and again only if the earlier
 * dispatch certainly did not run. This is checked here, immediately before the effect is
 * emitted, because every dispatch passes through this class.
 */
final class CallDispatcher {

	private final Invariants invariants;

	CallDispatcher(Invariants invariants) {
		this.invariants = invariants;
	}

	void reserve(PendingRequest pending, RunnerState runner, ServiceState service) {
		pending.runner = runner;
		runner.inFlight++;
		service.pool.addInFlight(1, service.isLong(pending.request));
	}

	RunnerState release(PendingRequest pending, ServiceState service) {
		RunnerState runner = pending.runner;
		pending.runner = null;
		pending.lastRunner = runner.name;
		if (this.invariants.holds(runner.inFlight > 0, "in-flight-not-negative", runner.name)) {
			runner.inFlight--;
			service.pool.addInFlight(-1, service.isLong(pending.request));
		}
		return runner;
	}

	/**
	 * Emits the claim, or the dispatch if no claim is needed or it is confirmed.
	 * @return false if sending could run a non-idempotent request twice
	 */
	boolean send(PendingRequest pending, long nowNanos, List<RequestEffect> effects) {
		if (!pending.request.idempotent() && !pending.claimed) {
			pending.stage = PendingRequest.Stage.CLAIMING;
			effects.add(new RequestEffect.Claim(pending.id()));
			return true;
		}
		boolean safe = pending.request.idempotent() || !pending.mayHaveRun();
		if (!this.invariants.holds(safe, "at-most-once", "request " + pending.id())) {
			return false;
		}
		pending.stage = PendingRequest.Stage.DISPATCHED;
		pending.dispatchedNanos = nowNanos;
		pending.dispatches++;
		pending.possibleRuns++;
		RunnerState runner = pending.runner;
		effects.add(new RequestEffect.Dispatch(pending.id(), runner.name, runner.status.weightsDigest()));
		return true;
	}

}
