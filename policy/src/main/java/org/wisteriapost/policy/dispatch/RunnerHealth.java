package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Says for how long a runner is left out because of how its answers ended.
 *
 * Load: one runner of several is dark, resets connections or fails part of its requests
 * while its health answer is good. Harm prevented: a runner that fails fast looks idle
 * and draws most of the requests; one that is dark costs each request a connect timeout.
 *
 * One connection that cannot be made is enough, since nothing else answers at that
 * address. Two broken answers in a row, since one may be that request's own. An error
 * rate, since a runner that fails half of its requests seldom fails several in a row:
 * {@value #ERROR_SHARE} lies above what services fail by themselves. The span doubles
 * while it goes on, and the next request after it is the probe, so no probes are paid
 * for.
 */
final class RunnerHealth {

	private static final int BROKEN_IN_ROW = 2;

	private static final double ERROR_SHARE = 0.35;

	private static final int ERROR_SAMPLES = 6;

	private static final double SMOOTHING = 0.2;

	// A runner that restarts is back within a second or two; four seconds bound how long
	// one that is well again stays unused.
	private static final long FIRST_SPAN_NANOS = Duration.ofMillis(400).toNanos();

	private static final int MOST_DOUBLINGS = 3;

	private int brokenInRow;

	private int samples;

	private double errorShare;

	private int ejections;

	private long outUntilNanos;

	private boolean out;

	// Whether it was left out since no connection could be made.
	private boolean unreached;

	// When the latest request that failed was sent.
	private long failedNanos = Long.MIN_VALUE;

	// When the request was sent that decides whether it is back.
	private OptionalLong probeNanos = OptionalLong.empty();

	/**
	 * Returns whether the runner may be sent requests.
	 */
	boolean usable(long nowNanos) {
		return !this.out || (nowNanos >= this.outUntilNanos && this.probeNanos.isEmpty());
	}

	/**
	 * Returns whether it was left out and has not answered since.
	 */
	boolean onProbation() {
		return this.out;
	}

	/**
	 * Notes that a request is sent.
	 */
	void sent(long nowNanos) {
		if (this.out) {
			this.probeNanos = OptionalLong.of(nowNanos);
		}
	}

	/**
	 * Notes that a request was given up for no fault of the runner.
	 * @param sentNanos when it was sent
	 */
	void stopped(long sentNanos) {
		if (this.probeNanos.isPresent() && this.probeNanos.getAsLong() == sentNanos) {
			this.probeNanos = OptionalLong.empty();
		}
	}

	/**
	 * Notes the first event of an answer. It proves no more than that the runner is
	 * reached again, which is enough where that was all that was wrong.
	 * @param sentNanos when the request was sent
	 */
	void began(long sentNanos) {
		if (this.unreached && sentNanos > this.failedNanos) {
			back();
		}
	}

	/**
	 * Notes how a request ended.
	 * @param sentNanos when it was sent
	 */
	void ended(Outcome outcome, long sentNanos, long nowNanos) {
		stopped(sentNanos);
		switch (outcome) {
			case DONE -> done(sentNanos);
			case ERROR -> error(nowNanos);
			case NOT_SENT -> {
				failed(sentNanos);
				this.unreached = true;
				eject(nowNanos);
			}
			case BROKEN -> {
				failed(sentNanos);
				broken(nowNanos);
			}
			case FULL, MISDIRECTED -> {
				// It answers; that it has no room is part of its load, not of its health.
			}
		}
	}

	private void failed(long sentNanos) {
		this.failedNanos = Math.max(this.failedNanos, sentNanos);
	}

	// Failure: a runner is cut off while it writes streams. Symptom: each of them that
	// ends whole brings the runner back, and all go there again. What was sent before the
	// latest failure says nothing of now; one that is sent after it does.
	private void done(long sentNanos) {
		sample(0);
		if (sentNanos > this.failedNanos) {
			well();
		}
	}

	private void well() {
		this.brokenInRow = 0;
		if (this.errorShare < ERROR_SHARE / 2) {
			this.ejections = 0;
		}
		back();
	}

	private void back() {
		this.out = false;
		this.unreached = false;
		this.probeNanos = OptionalLong.empty();
	}

	private void error(long nowNanos) {
		this.brokenInRow = 0;
		sample(1);
		if (this.samples >= ERROR_SAMPLES && this.errorShare > ERROR_SHARE) {
			this.unreached = false;
			eject(nowNanos);
		}
	}

	private void broken(long nowNanos) {
		this.brokenInRow++;
		sample(1);
		if (this.brokenInRow >= BROKEN_IN_ROW || this.out) {
			this.unreached = false;
			eject(nowNanos);
		}
	}

	private void sample(double error) {
		this.samples++;
		this.errorShare += SMOOTHING * (error - this.errorShare);
	}

	private void eject(long nowNanos) {
		if (this.out && nowNanos < this.outUntilNanos) {
			return;
		}
		this.out = true;
		this.outUntilNanos = nowNanos + (FIRST_SPAN_NANOS << Math.min(MOST_DOUBLINGS, this.ejections));
		this.ejections++;
	}

}
