package org.wisteriapost.entry.direct;

import java.util.List;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.RateLimits;
import org.wisteriapost.policy.ratelimit.RateLimitChange;
import org.wisteriapost.policy.ratelimit.RateLimitSource;

/**
 * Logs and counts what an entry learns of the rates that runners ask for, and of runners
 * that are cold.
 */
final class RateLimitLog {

	private final RateLimits limits;

	private final ColdStartLog coldStarts;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	RateLimitLog(RateLimits limits, DecisionLog log, DirectMetrics metrics) {
		this.limits = limits;
		this.coldStarts = new ColdStartLog(limits.coldRunners(), log, metrics);
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Updates the entries that share the limits, and reports the runners that are cold.
	 */
	void updateEntries(EntryRegistry entries, SiteView view, long now) {
		this.limits.updateGroup(entries.entryGroup());
		this.coldStarts.update(entries.registeredEntries(), view, now);
	}

	/**
	 * Reports why a request was refused, if that was for lack of a permit.
	 */
	void ended(DispatchEffect effect, long now) {
		this.coldStarts.ended(effect, now);
	}

	/**
	 * Reports the changes since the last time and returns whether there were any.
	 */
	boolean report() {
		List<RateLimitChange> changes = this.limits.drainChanges();
		for (RateLimitChange change : changes) {
			log(change);
			this.metrics.rateLimitChanged(this.limits.limitedRunners());
		}
		return !changes.isEmpty();
	}

	private void log(RateLimitChange change) {
		switch (change.source()) {
			case RateLimitSource.Answer answer -> this.log.decision("runner-limit", "runner", change.runnerId(),
					"perSecond", change.perSecond(), "share", change.share(), "from", "runner", "attempt",
					answer.attemptId(), "dispatch", answer.dispatch(), "requestAgeMs", answer.requestAge().toMillis());
			case RateLimitSource.Report report ->
				this.log.decision("runner-limit", "runner", change.runnerId(), "perSecond", change.perSecond(), "share",
						change.share(), "from", report.peer(), "ageMs", report.age().toMillis());
		}
	}

}
