package org.wisteriapost.policy.request;

/**
 * Returns how many calls a runner that came back may have from this entry while it warms
 * up.
 *
 * Load: a runner returns from a restart, a switch of weights or an ejection while the
 * others are busy. Harm prevented: being the only idle one it draws every waiting call at
 * once, answers them all from cold caches, is late with all of them and is ejected again.
 *
 * The share grows evenly over the time of slow start and begins at a fifth: a smaller
 * first step would leave slots idle for longer than caches need. No ramp while half of
 * the runners or more are in it: after a roll or an outage that many cold runners are
 * better than refusals.
 */
final class SlowStart {

	private static final double FIRST_SHARE = 0.2;

	private final long spanNanos;

	SlowStart(RequestPolicySettings settings) {
		this.spanNanos = settings.slowStart().toNanos();
	}

	/**
	 * Begins the ramp of a runner, unless too many are in it.
	 */
	void begin(RunnerState runner, RunnerPool pool, long nowNanos) {
		end(runner, pool);
		if (this.spanNanos > 0 && (pool.ramping() + 1) * 2 < pool.eligible().size()) {
			runner.slowStartNanos = nowNanos;
			pool.countRamping(1);
		}
	}

	/**
	 * Ends the ramp of a runner, if it is in one.
	 */
	void end(RunnerState runner, RunnerPool pool) {
		if (runner.slowStartNanos != Long.MIN_VALUE) {
			runner.slowStartNanos = Long.MIN_VALUE;
			pool.countRamping(-1);
		}
	}

	/**
	 * Returns the calls allowed now out of those that the limit allows.
	 */
	int allowed(RunnerState runner, int limit, long nowNanos) {
		if (runner.slowStartNanos == Long.MIN_VALUE) {
			return limit;
		}
		double share = FIRST_SHARE + (1 - FIRST_SHARE) * (nowNanos - runner.slowStartNanos) / this.spanNanos;
		return (int) Math.max(1, Math.min(1, share) * limit);
	}

	/**
	 * Returns whether the ramp of a runner is over.
	 */
	boolean over(RunnerState runner, long nowNanos) {
		return runner.slowStartNanos != Long.MIN_VALUE && nowNanos - runner.slowStartNanos >= this.spanNanos;
	}

	/**
	 * Returns when to look at a ramping runner again: ten steps in a ramp.
	 */
	long nextStepNanos(long nowNanos) {
		return nowNanos + this.spanNanos / 10;
	}

}
