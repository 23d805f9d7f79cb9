package org.wisteriapost.policy.request;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Takes a runner out while it fails or is far slower than its peers.
 *
 * Load: one runner of ten is broken or slow while the rest are well. Harm prevented: a
 * runner that fails fast is always idle and so draws most of the calls; a slow one holds
 * a slot of every caller that meets it and makes the p99 of all.
 *
 * Three errors in a row, not one: single errors come from single requests. Three times
 * the median after three samples: mixed lengths and full batches reach twice. The floor
 * keeps the others in when so many fail that the cause must be elsewhere, for one runner
 * that fails half of its calls is better than none. A runner returns by one probe, an
 * idempotent call, after a time that doubles with each ejection and is jittered so that
 * the entries do not probe together.
 */
final class OutlierEjection {

	private static final int ERRORS = 3;

	private static final int SAMPLES = 3;

	private static final double SLOW = 3;

	private static final double WELL = 2;

	private static final double SMOOTHING = 0.3;

	private static final int MOST_DOUBLINGS = 4;

	private final RequestPolicySettings settings;

	private final UniformRandomProvider random;

	OutlierEjection(RequestPolicySettings settings, UniformRandomProvider random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Notes an answer and ejects the runner when it is far slower than its peers.
	 * @return whether a probe came back well, so that the runner returns
	 */
	boolean answered(RunnerState runner, RunnerPool pool, double secondsPerCost, long nowNanos) {
		runner.errorsInRow = 0;
		runner.samples++;
		boolean first = runner.samples == 1;
		runner.secondsPerCost = first ? secondsPerCost
				: runner.secondsPerCost + SMOOTHING * (secondsPerCost - runner.secondsPerCost);
		double median = pool.rate.median();
		if (runner.ejected) {
			return probed(runner, pool, secondsPerCost <= WELL * median, nowNanos);
		}
		if (runner.samples >= SAMPLES && median > 0 && runner.secondsPerCost > SLOW * median) {
			eject(runner, pool, nowNanos);
		}
		return false;
	}

	/**
	 * Notes a failure that the runner or the way to it is to blame for.
	 */
	void failed(RunnerState runner, RunnerPool pool, long nowNanos) {
		runner.errorsInRow++;
		if (runner.ejected) {
			probed(runner, pool, false, nowNanos);
			return;
		}
		if (runner.errorsInRow >= ERRORS) {
			eject(runner, pool, nowNanos);
		}
	}

	/**
	 * Returns whether an ejected runner may now be sent its one probe.
	 */
	boolean probing(RunnerState runner, long nowNanos) {
		return runner.ejected && nowNanos >= runner.ejectedUntilNanos;
	}

	/**
	 * Forgets that a runner was ejected, for it is gone or starts anew.
	 */
	void forget(RunnerState runner, RunnerPool pool) {
		if (runner.ejected) {
			runner.ejected = false;
			pool.countEjected(-1);
		}
		runner.errorsInRow = 0;
		runner.samples = 0;
		runner.secondsPerCost = 0;
	}

	private boolean probed(RunnerState runner, RunnerPool pool, boolean well, long nowNanos) {
		if (nowNanos < runner.ejectedUntilNanos) {
			// A call from before the ejection says nothing new.
			return false;
		}
		if (well) {
			forget(runner, pool);
			return true;
		}
		runner.ejections++;
		runner.ejectedUntilNanos = nowNanos + span(runner);
		return false;
	}

	private void eject(RunnerState runner, RunnerPool pool, long nowNanos) {
		int most = (int) (pool.eligible().size() * this.settings.ejectedShare());
		if (pool.ejected() >= most) {
			return;
		}
		runner.ejected = true;
		runner.ejections++;
		runner.ejectedUntilNanos = nowNanos + span(runner);
		pool.countEjected(1);
	}

	private long span(RunnerState runner) {
		int doublings = Math.min(MOST_DOUBLINGS, runner.ejections - 1);
		double jitter = 0.75 + 0.5 * this.random.nextDouble();
		return (long) (this.settings.ejection().toNanos() * jitter * (1 << doublings));
	}

}
