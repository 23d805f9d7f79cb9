package org.wisteriapost.entry.direct;

import java.util.Set;
import java.util.stream.Collectors;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.quarantine.PromptParts;
import org.wisteriapost.policy.quarantine.QuarantineChange;
import org.wisteriapost.policy.quarantine.RequestQuarantine;

/**
 * Logs and counts what an entry comes to believe of requests that crash runners.
 */
final class QuarantineLog {

	private static final int MAX_LOGGED_PARTS = 32;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	QuarantineLog(DecisionLog log, DirectMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Reports the changes since the last time.
	 */
	void report(RequestQuarantine quarantine) {
		for (QuarantineChange change : quarantine.drainChanges()) {
			this.metrics.quarantineChanged(change, quarantine.size());
			switch (change) {
				case QuarantineChange.Suspected suspected -> this.log.decision("request-suspected", "request",
						hash(suspected.contentHash()), "losses", suspected.losses());
				case QuarantineChange.Quarantined started ->
					this.log.failure("request-quarantined", "request", hash(started.contentHash()), "losses",
							started.losses(), "forMs", started.forMillis(), "from", started.source().orElse("own"));
				case QuarantineChange.Cleared cleared -> this.log.decision("suspicion-cleared", "request",
						hash(cleared.contentHash()), "from", cleared.source().orElse("own"));
				case QuarantineChange.Released released ->
					this.log.decision("quarantine-ended", "request", hash(released.contentHash()));
				case QuarantineChange.PartSuspected suspected -> this.log.decision("part-suspected", "part",
						PromptParts.name(suspected.part()), "losses", suspected.losses());
				case QuarantineChange.PartsQuarantined started ->
					this.log.failure("parts-quarantined", "parts", names(started.parts()), "count",
							started.parts().size(), "losses", started.losses(), "forMs", started.forMillis());
				case QuarantineChange.PartsReleased released -> this.log.decision("parts-released", "parts",
						names(released.parts()), "count", released.parts().size());
			}
		}
	}

	private static String hash(long contentHash) {
		return Long.toHexString(contentHash);
	}

	private static String names(Set<Long> parts) {
		return parts.stream().map(PromptParts::name).sorted().limit(MAX_LOGGED_PARTS).collect(Collectors.joining(","));
	}

}
