package org.wisteriapost.policy.dispatch;

import java.time.Duration;

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

	/**
	 * Returns whether the runner may be sent requests.
	 */
	boolean usable(long nowNanos) {
		return !this.out || nowNanos >= this.outUntilNanos;
	}

	/**
	 * Returns whether its next request decides if it is back.
	 */
	boolean onProbation() {
		return this.out;
	}

	void ended(Outcome outcome, long nowNanos) {
		switch (outcome) {
			case DONE -> well();
			case ERROR -> error(nowNanos);
			case NOT_SENT -> eject(nowNanos);
			case BROKEN -> broken(nowNanos);
			case FULL, MISDIRECTED -> {
				// It answers; that it has no room is part of its load, not of its health.
			}
		}
	}

	private void well() {
		this.brokenInRow = 0;
		sample(0);
		if (this.errorShare < ERROR_SHARE / 2) {
			this.ejections = 0;
		}
		this.out = false;
	}

	private void error(long nowNanos) {
		this.brokenInRow = 0;
		sample(1);
		if (this.samples >= ERROR_SAMPLES && this.errorShare > ERROR_SHARE) {
			eject(nowNanos);
		}
	}

	private void broken(long nowNanos) {
		this.brokenInRow++;
		sample(1);
		if (this.brokenInRow >= BROKEN_IN_ROW || this.out) {
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
