package org.wisteriapost.entry.direct;

import java.util.Set;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.Contention;

/**
 * Logs at which services late requests start and stop being refused for the good of
 * others.
 */
final class ContentionLog {

	private final DecisionLog log;

	private Set<String> contended = Set.of();

	ContentionLog(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Reports a change since the last time.
	 */
	void report(Contention contention, long nowNanos) {
		Set<String> services = contention.services(nowNanos);
		if (services.equals(this.contended)) {
			return;
		}
		this.contended = services;
		this.log.decision("contention", "services", String.join(" ", services), "own",
				String.join(" ", contention.own(nowNanos).keySet()));
	}

}
