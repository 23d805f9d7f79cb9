package org.wisteriapost.entry.direct;

import java.util.List;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.coldstart.ColdChange;
import org.wisteriapost.policy.coldstart.RegisteredEntries;
import org.wisteriapost.policy.dispatch.ColdRunners;
import org.wisteriapost.policy.dispatch.DispatchEffect;

/**
 * Updates, logs and counts the runners that count as cold.
 */
final class ColdStartLog {

	private static final String RUNNER_LIMIT = "runner-limit";

	// A service can have hundreds of runners.
	private static final int MAX_NAMED = 8;

	private final ColdRunners runners;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	ColdStartLog(ColdRunners runners, DecisionLog log, DirectMetrics metrics) {
		this.runners = runners;
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Applies the current view of the entries, and reports what has changed.
	 */
	void update(RegisteredEntries entries, SiteView view, long now) {
		this.runners.updateEntries(entries, view.routeTableStalenessMillis(now), now);
		this.runners.drainChanges().forEach((change) -> log(change, view, now));
		this.metrics.coldRunners(this.runners.count(), this.runners.usedPermits());
	}

	private void log(ColdChange change, SiteView view, long now) {
		if (change.reason().isEmpty()) {
			this.log.decision("runner-warm", "runner", change.runnerId());
			return;
		}
		this.log.decision("runner-cold", "runner", change.runnerId(), "why", change.reason().get(), "forMs",
				change.remaining().toMillis(), "permits", change.permits(), "entries", change.entries(), "viewAgeMs",
				view.routeTableStalenessMillis(now));
	}

	/**
	 * Logs the cold runners if a request was refused for lack of a permit. The lines
	 * about these runners may be much older than the request.
	 */
	void ended(DispatchEffect effect, long now) {
		if (effect instanceof DispatchEffect.Refuse refuse && refuse.code().name().equals(RUNNER_LIMIT)) {
			List<String> cold = this.runners.coldRunners(refuse.job().service(), now);
			if (!cold.isEmpty()) {
				this.log.decision("refused-by-cold-runners", "attempt", refuse.job().attemptId(), "service",
						refuse.job().service(), "cold", cold.size(), "runners",
						cold.stream().limit(MAX_NAMED).toList());
			}
		}
	}

}
