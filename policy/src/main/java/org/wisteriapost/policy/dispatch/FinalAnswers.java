package org.wisteriapost.policy.dispatch;

import java.util.function.Consumer;

import org.wisteriapost.kernel.Code;

/**
 * Gives requests that get no runner's answer their final one.
 *
 * That a request has not run is said only of one that no runner has begun: its caller may
 * send it again, and one that may run once would run twice.
 */
final class FinalAnswers {

	private final Patience patience;

	private final Consumer<DispatchEffect> effects;

	FinalAnswers(Patience patience, Consumer<DispatchEffect> effects) {
		this.patience = patience;
		this.effects = effects;
	}

	/**
	 * Ends a request whose latest dispatch has ended and that goes nowhere else.
	 */
	void noOtherRunner(Job job, Outcome outcome, long nowNanos) {
		job.refused().ifPresent(this.patience::refused);
		switch (outcome) {
			case ERROR -> this.effects.accept(new DispatchEffect.PassOn(job));
			case FULL, MISDIRECTED, NOT_SENT -> refuseOrFail(job, Dispatcher.NO_ROOM, nowNanos);
			case DONE, BROKEN -> this.effects.accept(new DispatchEffect.Fail(job, Dispatcher.RUN_BROKEN, false));
		}
	}

	/**
	 * Ends a request whose time is over.
	 */
	void timeOver(Job job, long nowNanos) {
		if (job.runs > 0) {
			this.effects.accept(new DispatchEffect.Fail(job, Dispatcher.TIME_OVER, true));
			return;
		}
		refuse(job, Dispatcher.TIME_OVER, nowNanos);
	}

	/**
	 * Ends a request that finds no runner.
	 */
	void refuseOrFail(Job job, Code code, long nowNanos) {
		if (job.runs > 0) {
			this.effects.accept(new DispatchEffect.Fail(job, Dispatcher.RUN_BROKEN, false));
			return;
		}
		refuse(job, code, nowNanos);
	}

	private void refuse(Job job, Code code, long nowNanos) {
		job.refused().ifPresent(this.patience::refused);
		long retryAfter = this.patience.retryAfterMillis(job, nowNanos);
		this.effects.accept(new DispatchEffect.Refuse(job, code, retryAfter));
	}

}
