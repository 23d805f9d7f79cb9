package org.wisteriapost.policy.request;

/**
 * Ramps up the calls that this entry sends to a returning runner.
 *
 * Load: a runner returns from a restart, a switch of weights or an ejection while the
 * others are busy. Harm prevented: as the only idle runner it receives every waiting call
 * at once, serves them all with cold caches, misses their deadlines and is ejected again.
 *
 * The share of the limit grows linearly and starts at a fifth, because a smaller first
 * step would leave slots idle for longer than the caches need to fill. A runner is not
 * ramped up while about half of the runners already are: after a rollout or an outage,
 * that many cold runners are better than refusals.
 */
final class SlowStart {

	private static final double INITIAL_SHARE = 0.2;

	private final long durationNanos;

	SlowStart(RequestPolicySettings settings) {
		this.durationNanos = settings.slowStartDuration().toNanos();
	}

	/**
	 * Starts the ramp of a runner unless too many others are ramping.
	 */
	void begin(RunnerState runner, RunnerPool pool, long nowNanos) {
		end(runner, pool);
		if (this.durationNanos > 0 && (pool.ramping() + 1) * 2 < pool.eligible().size()) {
			runner.slowStartNanos = nowNanos;
			pool.addRamping(1);
		}
	}

	void end(RunnerState runner, RunnerPool pool) {
		if (runner.slowStartNanos != Long.MIN_VALUE) {
			runner.slowStartNanos = Long.MIN_VALUE;
			pool.addRamping(-1);
		}
	}

	/**
	 * Returns the calls allowed now, at most the given limit.
	 */
	int allowedCalls(RunnerState runner, int limit, long nowNanos) {
		if (runner.slowStartNanos == Long.MIN_VALUE) {
			return limit;
		}
		double share = INITIAL_SHARE + (1 - INITIAL_SHARE) * (nowNanos - runner.slowStartNanos) / this.durationNanos;
		return (int) Math.max(1, Math.min(1, share) * limit);
	}

	/**
	 * Returns whether a runner's ramp has reached its full duration.
	 */
	boolean isComplete(RunnerState runner, long nowNanos) {
		return runner.slowStartNanos != Long.MIN_VALUE && nowNanos - runner.slowStartNanos >= this.durationNanos;
	}

	/**
	 * Returns the time of the next increase; a ramp has ten steps.
	 */
	long nextStepNanos(long nowNanos) {
		return nowNanos + this.durationNanos / 10;
	}

}
