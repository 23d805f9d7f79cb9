package org.wisteriapost.policy.dispatch;

import java.util.Optional;

import org.wisteriapost.policy.routing.EngineSpec;

/**
 * Decides whether a request whose runner is silent is sent to a second runner as well.
 *
 * A silent runner may be lost, or go on after a second. To end its dispatch before
 * another runner answers would lose requests that it would have completed, and to wait
 * for it alone would lose the requests of a runner that has crashed.
 */
final class HedgePolicy {

	private final Placement placement;

	private final AdmissionPolicy admission;

	private final PoisonGuard poisonGuard;

	private final RetryPolicy retryPolicy;

	private final RetryBudgets retryBudgets;

	HedgePolicy(Placement placement, AdmissionPolicy admission, PoisonGuard poisonGuard, RetryPolicy retryPolicy,
			RetryBudgets retryBudgets) {
		this.placement = placement;
		this.admission = admission;
		this.poisonGuard = poisonGuard;
		this.retryPolicy = retryPolicy;
		this.retryBudgets = retryBudgets;
	}

	/**
	 * Returns the runner for the second dispatch, if there is one that can take it now
	 * and the retry budget allows it.
	 */
	Optional<Placement.Choice> secondRunner(Job job, Optional<EngineSpec> engine, long nowNanos) {
		return usableRunner(job, engine, nowNanos)
			.filter((choice) -> this.retryBudgets.tryAcquire(job.service(), nowNanos));
	}

	private Optional<Placement.Choice> usableRunner(Job job, Optional<EngineSpec> engine, long nowNanos) {
		if (job.openDispatches().size() != 1 || !job.openDispatches().getFirst().silent()
				|| !this.retryPolicy.canRetry(job) || this.poisonGuard.suspected(job, nowNanos)) {
			return Optional.empty();
		}
		Placement.Choice choice = this.placement.choose(job, engine, this.admission.assess(job, nowNanos), nowNanos);
		boolean usable = choice.hasFreeCapacity()
				&& choice.runner().map((runner) -> runner.health.usable(nowNanos)).orElse(false);
		return (usable && this.admission.decide(job, choice, 0, nowNanos) == AdmissionPolicy.Decision.SEND)
				? Optional.of(choice) : Optional.empty();
	}

}
