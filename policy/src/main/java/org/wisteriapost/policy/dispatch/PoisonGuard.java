package org.wisteriapost.policy.dispatch;

import java.util.OptionalLong;

import org.wisteriapost.policy.quarantine.RequestQuarantine;

/**
 * Keeps requests that crash runners from further ones. Each would end all requests at a
 * runner, which is then missing for some seconds.
 */
final class PoisonGuard {

	private final RequestQuarantine quarantine = new RequestQuarantine();

	RequestQuarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Returns for how long a request is not to be sent to runners, if it is in
	 * quarantine.
	 */
	OptionalLong remainingNanos(Job job, long nowNanos) {
		return this.quarantine.remainingNanos(job.contentHash(), nowNanos);
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
	void dispatchEnded(Job job, RunnerState runner, DispatchOutcome outcome, long nowNanos) {
		switch (outcome) {
			case DONE -> {
				this.quarantine.runnerAnswered(runner.info, nowNanos);
				this.quarantine.requestCompleted(job.contentHash(), nowNanos);
			}
			case ERROR, FULL -> this.quarantine.runnerAnswered(runner.info, nowNanos);
			case DISCONNECTED -> {
				// A runner that leaves may close connections at its end.
				if (!runner.draining() && !runner.removed) {
					this.quarantine.runnerLost(job.contentHash(), runner.info, nowNanos);
				}
			}
			case NOT_SENT, MISDIRECTED, BROKEN -> {
				// Does not tell whether the process lives.
			}
		}
	}

}
