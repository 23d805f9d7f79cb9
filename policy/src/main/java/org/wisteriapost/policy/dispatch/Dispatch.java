package org.wisteriapost.policy.dispatch;

import java.util.OptionalLong;

/**
 * One dispatch of a request to a runner, until it has ended. It is owned by the
 * dispatcher's thread.
 */
final class Dispatch {

	final Job job;

	// Starts at 1 for each request.
	final int number;

	final RunnerState runner;

	final long sentNanos;

	final double predictedMillis;

	final double nominalMillis;

	// The pace that the runner had stated when the request was sent.
	final double statedPace;

	// Whether it was given the rank of late requests.
	final boolean sentAsLate;

	// Whether it has sent an event to the caller.
	boolean firstEventSent;

	// When it sent that event.
	OptionalLong firstEventNanos = OptionalLong.empty();

	// Whether its answer is known to have gone on.
	boolean answerWentOn;

	// Since when the runner is known to have sent nothing for longer than usual.
	private OptionalLong silentSinceNanos = OptionalLong.empty();

	private Dispatch(Job job, int number, RunnerState runner, Placement.Choice choice, boolean late, long nowNanos) {
		this.job = job;
		this.number = number;
		this.runner = runner;
		this.sentNanos = nowNanos;
		this.predictedMillis = choice.predictedMillis();
		this.nominalMillis = choice.engine() ? choice.nominalMillis() : 0;
		this.statedPace = runner.pace(nowNanos);
		this.sentAsLate = late;
	}

	/**
	 * Returns a dispatch that is sent now to the chosen runner.
	 * @param late whether the request has the rank of late requests
	 */
	static Dispatch create(Job job, int number, Placement.Choice choice, boolean late, long nowNanos) {
		return new Dispatch(job, number, choice.runner().orElseThrow(), choice, late, nowNanos);
	}

	/**
	 * Records that it has sent its first event to the caller.
	 */
	void recordFirstEvent(long nowNanos) {
		this.firstEventSent = true;
		this.firstEventNanos = OptionalLong.of(nowNanos);
		this.job.responseStarted = true;
	}

	/**
	 * Returns whether the runner has been silent for longer than usual and has not gone
	 * on.
	 */
	boolean silent() {
		return this.silentSinceNanos.isPresent();
	}

	void markSilent(long nowNanos) {
		this.silentSinceNanos = OptionalLong.of(nowNanos);
	}

	void endSilence() {
		this.silentSinceNanos = OptionalLong.empty();
	}

	/**
	 * Returns whether the caller was sent an event since the runner was found silent.
	 */
	boolean eventsSinceSilence() {
		return this.silentSinceNanos.isPresent() && lastProgressNanos() >= this.silentSinceNanos.getAsLong();
	}

	/**
	 * Returns whether the caller was sent an event since this dispatch. The thread that
	 * reads the response records events before this thread learns of the first.
	 */
	boolean hasOutput() {
		return this.firstEventSent || lastProgressNanos() > this.sentNanos;
	}

	/**
	 * Returns the time of the last event, or of this dispatch if there was no event
	 * since.
	 */
	long lastProgressNanos() {
		return Math.max(this.sentNanos, this.job.lastEventNanos().orElse(this.sentNanos));
	}

	/**
	 * Returns the time since the last progress.
	 */
	long idleMillis(long nowNanos) {
		return (nowNanos - lastProgressNanos()) / Placement.NANOS_PER_MILLI;
	}

}
