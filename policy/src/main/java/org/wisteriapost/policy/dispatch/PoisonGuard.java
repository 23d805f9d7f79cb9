package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.OptionalLong;

import org.wisteriapost.policy.quarantine.RequestQuarantine;

/**
 * Keeps requests that crash runners from further ones. Each would end all requests at a
 * runner, which is then missing for some seconds.
 */
final class PoisonGuard {

	// A part that crashes runners does so within some tenths of a second after its
	// request has begun.
	private static final long GOES_ON_NANOS = Duration.ofMillis(300).toNanos();

	private static final long YOUNG_NANOS = Duration.ofMillis(500).toNanos();

	private final RequestQuarantine quarantine = new RequestQuarantine();

	RequestQuarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Returns for how long a request is not to be sent to runners, if it is in
	 * quarantine.
	 */
	OptionalLong remainingNanos(Job job, long nowNanos) {
		return this.quarantine.remainingNanos(job.contentHash(), job.parts(), nowNanos);
	}

	/**
	 * Records answers that go on.
	 */
	void watch(Job job, long nowNanos) {
		job.openDispatches().forEach((dispatch) -> watch(dispatch, nowNanos));
	}

	private void watch(Dispatch dispatch, long nowNanos) {
		if (!dispatch.answerWentOn && dispatch.firstEventNanos.isPresent()
				&& dispatch.lastProgressNanos() - dispatch.firstEventNanos.getAsLong() >= GOES_ON_NANOS) {
			dispatch.answerWentOn = true;
			this.quarantine.partsAnswered(dispatch.job.parts(), dispatch.firstEventNanos.getAsLong(), nowNanos);
		}
	}

	/**
	 * Returns whether a request is in quarantine, or may be after a loss is confirmed.
	 */
	boolean suspected(Job job, long nowNanos) {
		return remainingNanos(job, nowNanos).isPresent() || this.quarantine.undecided(job.contentHash());
	}

	/**
	 * Records the outcome of a dispatch.
	 */
	void dispatchEnded(Dispatch dispatch, DispatchOutcome outcome, long nowNanos) {
		Job job = dispatch.job;
		RunnerState runner = dispatch.runner;
		switch (outcome) {
			case DONE -> {
				this.quarantine.runnerAnswered(runner.info, nowNanos);
				this.quarantine.requestCompleted(job.contentHash(), dispatch.sentNanos);
				answerBegan(dispatch).ifPresent((begun) -> this.quarantine.partsAnswered(job.parts(), begun, nowNanos));
			}
			case ERROR, FULL -> this.quarantine.runnerAnswered(runner.info, nowNanos);
			case DISCONNECTED -> {
				// A runner that leaves may close connections at its end.
				if (!runner.draining() && !runner.removed) {
					this.quarantine.runnerLost(job.contentHash(), runner.info, nowNanos);
					partsLost(dispatch, nowNanos);
				}
			}
			case NOT_SENT, MISDIRECTED, BROKEN -> {
				// Does not tell whether the process lives.
			}
		}
	}

	// An answer that had gone on was not what crashed the runner.
	private void partsLost(Dispatch dispatch, long nowNanos) {
		watch(dispatch, nowNanos);
		boolean young = dispatch.firstEventNanos.isEmpty()
				|| nowNanos - dispatch.firstEventNanos.getAsLong() < YOUNG_NANOS;
		if (young && !dispatch.answerWentOn) {
			this.quarantine.runnerLost(dispatch.job.parts(), dispatch.runner.info, nowNanos);
		}
	}

	// When a plain request began to run is not known, but not before it was sent. A
	// stream without events has not begun.
	private static OptionalLong answerBegan(Dispatch dispatch) {
		return (dispatch.job.isStream() || dispatch.firstEventSent) ? dispatch.firstEventNanos
				: OptionalLong.of(dispatch.sentNanos);
	}

}
