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

	private final CallOutput output;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	private final SiteView localView;

	EffectExecutor(CallOutput output, DecisionLog log, DirectMetrics metrics, SiteView localView) {
		this.output = output;
		this.log = log;
		this.metrics = metrics;
		this.localView = localView;
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
			case DispatchEffect.Cancel stop -> {
				this.output.stop(call);
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
		this.log.decision("dispatched", "attempt", job.attemptId(), "dispatch", job.dispatchNumber(), "request",
				Long.toHexString(job.contentHash()), "route", job.route().name(), "runner", send.runner().id(),
				"address", send.runner().address(), "rank", send.rank(), "version", send.weightsVersion(), "table",
				this.localView.routeTableVersion(), "prompt", job.size().promptTokens(), "answer",
				job.size().maxAnswerTokens(), "predictedMs", Math.round(job.predictedMillis()), "pace",
				job.statedPace(), "tries", send.requiresNewConnection());
		this.metrics.dispatched();
		this.output.send(call, send);
	}

	private void refuse(DispatchEffect.Refuse refuse, DirectCall call, long nowNanos) {
		Job job = refuse.job();
		this.log.failure("refused", "attempt", job.attemptId(), "request", Long.toHexString(job.contentHash()), "code",
				refuse.code().name(), "route", job.route().name(), "retryAfterMs", refuse.retryAfterMillis(), "ageMs",
				TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedNanos()));
		this.metrics.answered("refused", refuse.code().name());
		this.output.refuse(call, refuse.code(), refuse.retryAfterMillis());
	}

	private void fail(DispatchEffect.Fail fail, DirectCall call) {
		Job job = fail.job();
		this.log.failure("failed", "attempt", job.attemptId(), "request", Long.toHexString(job.contentHash()), "code",
				fail.code().name(), "events", job.events());
		this.metrics.answered("failed", fail.code().name());
		this.output.fail(call, fail.code(), fail.timeout());
	}

}
