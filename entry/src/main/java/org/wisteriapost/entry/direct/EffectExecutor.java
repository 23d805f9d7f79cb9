package org.wisteriapost.entry.direct;

import java.util.concurrent.TimeUnit;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.Job;

/**
 * Performs the dispatcher's decisions on requests, and logs and counts them. Confined to
 * the state thread.
 */
final class EffectExecutor {

	private static final int MAX_LOGGED_PARTS_LENGTH = 200;

	private final CallOutput output;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	private final SiteView localView;

	private final EvacuationUpdates evacuations;

	EffectExecutor(CallOutput output, DecisionLog log, DirectMetrics metrics, SiteView localView,
			EvacuationUpdates evacuations) {
		this.output = output;
		this.log = log;
		this.metrics = metrics;
		this.localView = localView;
		this.evacuations = evacuations;
	}

	/**
	 * Performs a decision and returns whether it has ended the request.
	 */
	boolean apply(DispatchEffect effect, DirectCall call, long nowNanos) {
		switch (effect) {
			case DispatchEffect.Send send -> {
				send(send, call);
				return false;
			}
			case DispatchEffect.Cancel cancel -> {
				cancel(cancel, call);
				return false;
			}
			case DispatchEffect.Refuse refuse -> refuse(refuse, call, nowNanos);
			case DispatchEffect.Fail fail -> fail(fail, call);
			case DispatchEffect.ForwardError passOn -> {
				this.log.failure("passed-on", "attempt", passOn.job().attemptId());
				this.output.forwardRunnerFailure(call);
			}
		}
		return true;
	}

	private void send(DispatchEffect.Send send, DirectCall call) {
		Job job = send.job();
		Object[] inputs = RegionLog.withRegions(job, "attempt", job.attemptId(), "dispatch", send.dispatch(), "request",
				Long.toHexString(job.contentHash()), "route", job.route().name(), "runner", send.runner().id(),
				"address", send.runner().address(), "rank", send.rank(), "version", send.weightsVersion(), "table",
				this.localView.routeTableVersion(), "prompt", job.size().promptTokens(), "parts", parts(call), "answer",
				job.size().maxAnswerTokens(), "predictedMs", Math.round(job.predictedMillis()), "pace",
				job.statedPace(), "tries", send.requiresNewConnection());
		this.log.decision("dispatched", inputs);
		this.metrics.dispatched();
		send.hedged().ifPresent((silent) -> {
			this.log.decision("dispatch-hedged", "attempt", job.attemptId(), "dispatch", send.dispatch(), "silent",
					silent.dispatch(), "idleMs", silent.idleMillis(), "events", send.events());
			this.metrics.hedged();
		});
		this.output.send(call, send);
	}

	private static String parts(DirectCall call) {
		String parts = call.request().fields().prompt().orElse("");
		return parts.substring(0, Math.min(parts.length(), MAX_LOGGED_PARTS_LENGTH));
	}

	private void cancel(DispatchEffect.Cancel cancel, DirectCall call) {
		Job job = cancel.job();
		this.log.decision("dispatch-given-up", "attempt", job.attemptId(), "dispatch", cancel.dispatch(), "reason",
				cancel.reason(), "events", job.events(), "idleMs", cancel.idleMillis());
		this.metrics.dispatchGivenUp(cancel.reason());
		this.output.stop(call, cancel.dispatch());
	}

	private void refuse(DispatchEffect.Refuse refuse, DirectCall call, long nowNanos) {
		Job job = refuse.job();
		Object[] inputs = RegionLog.withRefusalInputs(job, this.localView, nowNanos, "attempt", job.attemptId(),
				"request", Long.toHexString(job.contentHash()), "parts", parts(call), "code", refuse.code().name(),
				"route", job.route().name(), "retryAfterMs", refuse.retryAfterMillis(), "rank", job.standing().rank(),
				"reservedSlots", job.standing().reservedSlots(), "contendedRank", job.standing().contendedRank(),
				"dispatches", call.history(), "ageMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedNanos()));
		this.log.failure("refused", inputs);
		this.evacuations.requestRefused(refuse, nowNanos);
		this.metrics.answered("refused", refuse.code().name());
		this.output.refuse(call, refuse.code(), refuse.retryAfterMillis());
	}

	private void fail(DispatchEffect.Fail fail, DirectCall call) {
		Job job = fail.job();
		this.log.failure("failed", "attempt", job.attemptId(), "request", Long.toHexString(job.contentHash()), "parts",
				parts(call), "code", fail.code().name(), "events", job.events(), "lastOutcome", job.lastOutcome(),
				"dispatches", call.history());
		this.metrics.answered("failed", fail.code().name());
		this.output.fail(call, fail.code(), fail.timeout());
	}

}
