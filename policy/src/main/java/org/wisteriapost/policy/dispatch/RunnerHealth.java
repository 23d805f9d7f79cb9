package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Ejects a runner for a time when its requests fail.
 *
 * A runner may be unreachable, reset connections or fail part of its requests although
 * its health check succeeds. A runner that fails fast looks idle and would attract most
 * of the requests, and an unreachable one would cost every request a connect timeout.
 *
 * A runner is ejected after one failed connection, after {@value #BROKEN_THRESHOLD}
 * broken responses in a row (a single one may be caused by the request itself), or when
 * its error rate exceeds {@value #MAX_ERROR_RATE}, which is above the usual error rate of
 * services and also detects a runner that fails every other request. The ejection time
 * doubles with each ejection, and the next request after it serves as the probe.
 */
final class RunnerHealth {

	private static final int BROKEN_THRESHOLD = 2;

	private static final double MAX_ERROR_RATE = 0.35;

	private static final int MIN_ERROR_SAMPLES = 6;

	private static final double SMOOTHING = 0.2;

	// A restarting runner is back within one or two seconds. The longest ejection bounds
	// how long a recovered runner stays unused.
	private static final long BASE_EJECTION_NANOS = Duration.ofMillis(400).toNanos();

	private static final int MAX_DOUBLINGS = 3;

	private int consecutiveBroken;

	private int samples;

	private double errorRate;

	private int ejections;

	private long ejectedUntilNanos;

	private boolean ejected;

	// Whether the cause of the ejection is a failed connection.
	private boolean ejectedAsUnreachable;

	// Whether the cause of the ejection is that the runner was silent.
	private boolean ejectedAsSilent;

	// Send time of the latest request that failed.
	private long lastFailedSentNanos = Long.MIN_VALUE;

	// Send time of the probe request, if one is in flight.
	private OptionalLong probeSentNanos = OptionalLong.empty();

	/**
	 * Returns whether the runner can be sent requests.
	 */
	boolean usable(long nowNanos) {
		return !this.ejected || (nowNanos >= this.ejectedUntilNanos && this.probeSentNanos.isEmpty());
	}

	/**
	 * Returns whether the runner was ejected and has not recovered since.
	 */
	boolean onProbation() {
		return this.ejected;
	}

	/**
	 * Records that a request is sent.
	 */
	void sent(long nowNanos) {
		if (this.ejected) {
			this.probeSentNanos = OptionalLong.of(nowNanos);
		}
	}

	/**
	 * Records that a request was cancelled for a reason other than a failure of the
	 * runner.
	 * @param sentNanos the send time of the request
	 */
	void cancelled(long sentNanos) {
		if (this.probeSentNanos.isPresent() && this.probeSentNanos.getAsLong() == sentNanos) {
			this.probeSentNanos = OptionalLong.empty();
		}
	}

	/**
	 * Records the first event of a response. It shows that the runner is reachable again,
	 * which ends an ejection only if that was its cause.
	 * @param sentNanos the send time of the request
	 */
	void firstEvent(long sentNanos) {
		if (this.ejectedAsUnreachable && sentNanos > this.lastFailedSentNanos) {
			reinstate();
		}
	}

	/**
	 * Records that the runner has sent nothing for a request for longer than usual, which
	 * counts as a broken response until it goes on.
	 * @param sentNanos the send time of the request
	 */
	void silent(long sentNanos, long nowNanos) {
		boolean ejectedOtherwise = this.ejected && !this.ejectedAsSilent;
		cancelled(sentNanos);
		failed(sentNanos);
		brokenInARow(nowNanos);
		this.ejectedAsSilent = this.ejected && !ejectedOtherwise;
	}

	/**
	 * Records that the runner goes on after it was silent. It can be used at once.
	 */
	void continued() {
		this.consecutiveBroken = 0;
		if (this.ejectedAsSilent) {
			this.ejections = Math.max(0, this.ejections - 1);
			reinstate();
		}
	}

	/**
	 * Records the outcome of a request.
	 * @param sentNanos the send time of the request
	 */
	void ended(DispatchOutcome outcome, long sentNanos, long nowNanos) {
		cancelled(sentNanos);
		switch (outcome) {
			case DONE -> done(sentNanos);
			case ERROR -> error(nowNanos);
			case NOT_SENT -> {
				failed(sentNanos);
				this.ejectedAsUnreachable = true;
				this.ejectedAsSilent = false;
				eject(nowNanos);
			}
			case DISCONNECTED, BROKEN -> {
				failed(sentNanos);
				broken(nowNanos);
			}
			case FULL, MISDIRECTED -> {
				// Lack of capacity or a changed address is not a health failure.
			}
		}
	}

	private void failed(long sentNanos) {
		this.lastFailedSentNanos = Math.max(this.lastFailedSentNanos, sentNanos);
	}

	// Streams that started before a runner became unreachable may still end
	// successfully. Only a request sent after the latest failure proves that the runner
	// has recovered; otherwise each of those streams would direct traffic to the runner
	// again.
	private void done(long sentNanos) {
		sample(0);
		if (sentNanos > this.lastFailedSentNanos) {
			recovered();
		}
	}

	private void recovered() {
		this.consecutiveBroken = 0;
		if (this.errorRate < MAX_ERROR_RATE / 2) {
			this.ejections = 0;
		}
		reinstate();
	}

	private void reinstate() {
		this.ejected = false;
		this.ejectedAsUnreachable = false;
		this.ejectedAsSilent = false;
		this.probeSentNanos = OptionalLong.empty();
	}

	private void error(long nowNanos) {
		this.consecutiveBroken = 0;
		sample(1);
		if (this.samples >= MIN_ERROR_SAMPLES && this.errorRate > MAX_ERROR_RATE) {
			this.ejectedAsUnreachable = false;
			this.ejectedAsSilent = false;
			eject(nowNanos);
		}
	}

	private void broken(long nowNanos) {
		sample(1);
		brokenInARow(nowNanos);
	}

	private void brokenInARow(long nowNanos) {
		this.consecutiveBroken++;
		if (this.consecutiveBroken >= BROKEN_THRESHOLD || this.ejected) {
			this.ejectedAsUnreachable = false;
			this.ejectedAsSilent = false;
			eject(nowNanos);
		}
	}

	private void sample(double error) {
		this.samples++;
		this.errorRate += SMOOTHING * (error - this.errorRate);
	}

	private void eject(long nowNanos) {
		if (this.ejected && nowNanos < this.ejectedUntilNanos) {
			return;
		}
		this.ejected = true;
		this.ejectedUntilNanos = nowNanos + (BASE_EJECTION_NANOS << Math.min(MAX_DOUBLINGS, this.ejections));
		this.ejections++;
	}

}
