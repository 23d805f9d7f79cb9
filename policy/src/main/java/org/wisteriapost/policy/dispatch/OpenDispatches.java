package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;

import org.wisteriapost.policy.routing.EngineSpec;

/**
 * Opens and closes dispatches, and keeps what depends on them: the load, health and
 * network path of their runners, and suspected poison requests. Each dispatch is released
 * once, by its end or by its cancellation.
 */
final class OpenDispatches {

	private final Placement placement;

	private final AdmissionPolicy admission;

	private final RetryPolicy retryPolicy;

	private final PoisonGuard poisonGuard;

	private final FirstEventLatencies latencies;

	private final Consumer<DispatchEffect> effects;

	OpenDispatches(Placement placement, AdmissionPolicy admission, RetryPolicy retryPolicy, PoisonGuard poisonGuard,
			FirstEventLatencies latencies, Consumer<DispatchEffect> effects) {
		this.placement = placement;
		this.admission = admission;
		this.retryPolicy = retryPolicy;
		this.poisonGuard = poisonGuard;
		this.latencies = latencies;
		this.effects = effects;
	}

	/**
	 * Sends a request to the chosen runner. A dispatch that is open stays so.
	 */
	void send(Job job, Placement.Choice choice, Optional<EngineSpec> engine, long nowNanos) {
		Optional<DispatchEffect.Hedged> hedged = job.openDispatches()
			.stream()
			.findFirst()
			.map((open) -> new DispatchEffect.Hedged(open.number, open.idleMillis(nowNanos)));
		Dispatch dispatch = job.open(choice, this.admission.isLate(job, nowNanos), nowNanos);
		RunnerState runner = dispatch.runner;
		boolean requiresNewConnection = this.placement.requiresNewConnection(runner, engine, nowNanos);
		runner.sent(dispatch, requiresNewConnection, nowNanos);
		int events = job.events();
		OptionalInt version = (events > 0) ? job.weightsVersion() : choice.requiredVersion();
		this.effects.accept(new DispatchEffect.Send(job, dispatch.number, runner.info,
				this.admission.rank(job, nowNanos), version, requiresNewConnection, events, hedged));
	}

	void firstEventSent(Dispatch dispatch, long nowNanos) {
		dispatch.recordFirstEvent(nowNanos);
		dispatch.runner.firstEvent(dispatch);
		this.poisonGuard.quarantine().runnerAnswered(dispatch.runner.info, nowNanos);
		this.latencies.firstEvent(dispatch, nowNanos);
		continued(dispatch);
	}

	/**
	 * Records which runners of a request have sent nothing for longer than usual, and
	 * which go on. Other requests avoid a silent runner until it goes on.
	 */
	void watchSilence(Job job, long nowNanos) {
		for (Dispatch dispatch : job.openDispatches()) {
			if (!dispatch.silent() && this.retryPolicy.stalled(dispatch, nowNanos)) {
				dispatch.markSilent(nowNanos);
				dispatch.runner.silent(dispatch, nowNanos);
			}
			else if (job.openDispatches().size() == 1 && dispatch.eventsSinceSilence()) {
				continued(dispatch);
			}
		}
	}

	/**
	 * Records that the runner goes on, if it was silent.
	 */
	void continued(Dispatch dispatch) {
		if (dispatch.silent()) {
			dispatch.endSilence();
			dispatch.runner.health.continued();
		}
	}

	/**
	 * Records how long a request has been waiting for its first event, and answers that
	 * go on.
	 */
	void watch(Job job, long nowNanos) {
		job.openDispatches().forEach((dispatch) -> this.latencies.waiting(dispatch, nowNanos));
		this.poisonGuard.watch(job, nowNanos);
	}

	/**
	 * Records the outcome of a dispatch. When the answer is complete, the others of the
	 * request are cancelled.
	 */
	void ended(Dispatch dispatch, DispatchOutcome outcome, long nowNanos) {
		if (outcome == DispatchOutcome.DONE || outcome == DispatchOutcome.ERROR) {
			continued(dispatch);
		}
		Job job = dispatch.job;
		dispatch.runner.ended(dispatch, outcome, nowNanos);
		this.poisonGuard.dispatchEnded(dispatch, outcome, nowNanos);
		job.closed(dispatch, outcome);
		if (outcome == DispatchOutcome.DONE) {
			cancelAll(job, CancelReason.SUPERSEDED, nowNanos);
		}
	}

	/**
	 * Cancels a dispatch for a reason other than a failure of the runner.
	 */
	void cancel(Dispatch dispatch, CancelReason reason, long nowNanos) {
		dispatch.runner.cancelled(dispatch, nowNanos);
		this.effects
			.accept(new DispatchEffect.Cancel(dispatch.job, dispatch.number, reason, dispatch.idleMillis(nowNanos)));
		dispatch.job.closed(dispatch);
	}

	/**
	 * Cancels the dispatches that were not started before a weights switch, which is not
	 * a failure of the runner. They may have just started, so the request is sent to
	 * another runner only if it may run twice.
	 */
	void cancelUnstarted(Job job, Optional<EngineSpec> engine, long nowNanos) {
		List.copyOf(job.openDispatches())
			.stream()
			.filter((dispatch) -> this.placement.startDeadlinePassed(dispatch, engine, nowNanos))
			.forEach((dispatch) -> cancel(dispatch, CancelReason.NOT_STARTED_IN_TIME, nowNanos));
	}

	/**
	 * Cancels all dispatches of a request.
	 */
	void cancelAll(Job job, CancelReason reason, long nowNanos) {
		List.copyOf(job.openDispatches()).forEach((dispatch) -> cancel(dispatch, reason, nowNanos));
	}

}
