package org.wisteriapost.policy.dispatch;

/**
 * Records how long requests wait for their first event, by runner and by service.
 */
final class FirstEventLatencies {

	private final ServiceLatencyFactors factors;

	FirstEventLatencies(ServiceLatencyFactors factors) {
		this.factors = factors;
	}

	/**
	 * Records the wait so far of a request at a model engine.
	 */
	void waiting(Job job, RunnerState runner, long nowNanos) {
		if (job.nominalMillis > 0 && !job.firstEventSent) {
			runner.firstEventWaits.recordWait(job.sentAsLate, nowNanos - job.sentNanos, nowNanos);
		}
	}

	/**
	 * Records the first event of a request at a model engine. Slowness that the engine
	 * had stated when the request was sent is not learned as well.
	 */
	void firstEvent(Job job, RunnerState runner, long nowNanos) {
		if (job.nominalMillis <= 0) {
			return;
		}
		long waitNanos = nowNanos - job.sentNanos;
		runner.firstEventWaits.recordWait(job.sentAsLate, waitNanos, nowNanos);
		double ratio = waitNanos / (job.nominalMillis * job.statedPace * Placement.NANOS_PER_MILLI);
		runner.recordLatencyRatio(ratio / this.factors.of(job.service()));
		this.factors.recordRatio(job.service(), ratio);
	}

}
