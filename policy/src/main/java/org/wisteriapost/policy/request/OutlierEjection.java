package org.wisteriapost.policy.request;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Ejects a runner from selection while it fails or is far slower than its peers.
 *
 * Load: one runner of ten is broken or slow while the others are healthy. Harm prevented:
 * a runner that fails fast is always idle and attracts most of the calls; a slow one
 * holds a slot of every caller that reaches it and dominates the p99.
 *
 * Ejection requires three consecutive errors, because single errors may be caused by
 * single requests, or three times the median latency after three samples, because mixed
 * request lengths and full batches reach twice the median. The maximum ejected share
 * keeps the remaining runners in use when so many fail that the cause must lie elsewhere:
 * a runner that fails half of its calls is better than none. A runner is reinstated by
 * one successful probe, an idempotent call, after a time that doubles with each ejection
 * and is jittered so that entries do not probe simultaneously.
 */
final class OutlierEjection {

	private static final int CONSECUTIVE_ERRORS = 3;

	private static final int MIN_SAMPLES = 3;

	private static final double EJECTION_RATIO = 3;

	private static final double RECOVERY_RATIO = 2;

	private static final double SMOOTHING = 0.3;

	private static final int MAX_DOUBLINGS = 4;

	private final RequestPolicySettings settings;

	private final UniformRandomProvider random;

	OutlierEjection(RequestPolicySettings settings, UniformRandomProvider random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Records an answer and ejects the runner when it is far slower than its peers.
	 * @return whether this was a successful probe that reinstated the runner
	 */
	boolean recordAnswer(RunnerState runner, RunnerPool pool, double secondsPerCost, long nowNanos) {
		runner.consecutiveErrors = 0;
		runner.samples++;
		boolean first = runner.samples == 1;
		runner.secondsPerCost = first ? secondsPerCost
				: runner.secondsPerCost + SMOOTHING * (secondsPerCost - runner.secondsPerCost);
		double median = pool.serviceTime.median();
		if (runner.ejected) {
			return recordProbe(runner, pool, secondsPerCost <= RECOVERY_RATIO * median, nowNanos);
		}
		if (runner.samples >= MIN_SAMPLES && median > 0 && runner.secondsPerCost > EJECTION_RATIO * median) {
			eject(runner, pool, nowNanos);
		}
		return false;
	}

	/**
	 * Records a failure of the runner or of the network path to it.
	 */
	void recordFailure(RunnerState runner, RunnerPool pool, long nowNanos) {
		runner.consecutiveErrors++;
		if (runner.ejected) {
			recordProbe(runner, pool, false, nowNanos);
			return;
		}
		if (runner.consecutiveErrors >= CONSECUTIVE_ERRORS) {
			eject(runner, pool, nowNanos);
		}
	}

	/**
	 * Returns whether an ejected runner may be sent its probe.
	 */
	boolean mayProbe(RunnerState runner, long nowNanos) {
		return runner.ejected && nowNanos >= runner.ejectedUntilNanos;
	}

	/**
	 * Clears the health state of a runner that is no longer eligible or has passed its
	 * probe.
	 */
	void reset(RunnerState runner, RunnerPool pool) {
		if (runner.ejected) {
			runner.ejected = false;
			pool.addEjected(-1);
		}
		runner.consecutiveErrors = 0;
		runner.samples = 0;
		runner.secondsPerCost = 0;
	}

	private boolean recordProbe(RunnerState runner, RunnerPool pool, boolean succeeded, long nowNanos) {
		if (nowNanos < runner.ejectedUntilNanos) {
			// The call was sent before the ejection and is not a probe.
			return false;
		}
		if (succeeded) {
			reset(runner, pool);
			return true;
		}
		runner.ejections++;
		runner.ejectedUntilNanos = nowNanos + ejectionNanos(runner);
		return false;
	}

	private void eject(RunnerState runner, RunnerPool pool, long nowNanos) {
		int maxEjected = (int) (pool.eligible().size() * this.settings.maxEjectedShare());
		if (pool.ejected() >= maxEjected) {
			return;
		}
		runner.ejected = true;
		runner.ejections++;
		runner.ejectedUntilNanos = nowNanos + ejectionNanos(runner);
		pool.addEjected(1);
	}

	private long ejectionNanos(RunnerState runner) {
		int doublings = Math.min(MAX_DOUBLINGS, runner.ejections - 1);
		double jitter = 0.75 + 0.5 * this.random.nextDouble();
		return (long) (this.settings.baseEjectionTime().toNanos() * jitter * (1 << doublings));
	}

}
