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
	void waiting(Dispatch dispatch, long nowNanos) {
		if (dispatch.nominalMillis > 0 && !dispatch.firstEventSent) {
			dispatch.runner.firstEventWaits.recordWait(dispatch.sentAsLate, nowNanos - dispatch.sentNanos, nowNanos);
		}
	}

	/**
	 * Records the first event of a request at a model engine. Slowness that the engine
	 * had stated when the request was sent is not learned as well.
	 */
	void firstEvent(Dispatch dispatch, long nowNanos) {
		if (dispatch.nominalMillis <= 0) {
			return;
		}
		long waitNanos = nowNanos - dispatch.sentNanos;
		dispatch.runner.firstEventWaits.recordWait(dispatch.sentAsLate, waitNanos, nowNanos);
		double ratio = waitNanos / (dispatch.nominalMillis * dispatch.statedPace * Placement.NANOS_PER_MILLI);
		String service = dispatch.job.service();
		dispatch.runner.recordLatencyRatio(ratio / this.factors.of(service));
		this.factors.recordRatio(service, ratio);
	}

}
