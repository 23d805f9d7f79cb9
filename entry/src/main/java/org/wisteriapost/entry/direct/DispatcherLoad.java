package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.admission.ContentionReport;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.ratelimit.RateLimitReport;

/**
 * The load of a dispatcher at one time, for a report to peers.
 *
 * @param dispatcher the dispatcher
 * @param nowNanos the time
 */
record DispatcherLoad(Dispatcher dispatcher, long nowNanos) implements LoadReporter.Source {

	static DispatcherLoad of(Dispatcher dispatcher, long nowNanos) {
		return new DispatcherLoad(dispatcher, nowNanos);
	}

	@Override
	public List<RunnerLoad> loads() {
		return this.dispatcher.fleetView().ownLoad();
	}

	@Override
	public Optional<RateLimitReport> rates() {
		return this.dispatcher.rateLimits().report(this.nowNanos);
	}

	@Override
	public List<ContentionReport> contended() {
		return this.dispatcher.contention().ownReports(this.nowNanos);
	}

}
