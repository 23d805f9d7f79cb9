package org.wisteriapost.entry.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.EvacuatedRunners;
import org.wisteriapost.policy.evacuation.EvacuationChange;
import org.wisteriapost.protocol.site.DecodedObject;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * Applies the objects that evacuate failure domains, logs and counts them. Confined to
 * the state thread.
 */
final class EvacuationUpdates {

	private static final String NO_RUNNER = "no-usable-runner";

	private final EvacuatedRunners evacuated;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	EvacuationUpdates(EvacuatedRunners evacuated, DecisionLog log, DirectMetrics metrics) {
		this.evacuated = evacuated;
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Replaces all objects.
	 */
	void replaceAll(List<ObjectStore.Item> items, long nowNanos) {
		Map<String, Long> revisions = new HashMap<>();
		for (ObjectStore.Item item : items) {
			if (isReadable(item)) {
				revisions.put(item.name(), item.revision());
			}
		}
		this.evacuated.replaceAll(revisions, nowNanos);
		reportChanges();
	}

	/**
	 * Applies a change of one object. An unreadable object evacuates nothing.
	 */
	void applyChange(ObjectStore.Change change, long nowNanos) {
		ObjectStore.Item item = change.item();
		if (!change.deleted() && isReadable(item)) {
			this.evacuated.begin(item.name(), item.revision(), nowNanos);
		}
		else {
			this.evacuated.end(item.name(), item.revision(), nowNanos);
		}
		reportChanges();
	}

	/**
	 * Ends evacuations that are due to end.
	 */
	void tick(long nowNanos) {
		if (this.evacuated.tick(nowNanos)) {
			reportChanges();
		}
	}

	private boolean isReadable(ObjectStore.Item item) {
		boolean readable = item.value().filter(DecodedObject.Evacuation.class::isInstance).isPresent();
		if (!readable) {
			this.log.decision("evacuation-unreadable", "failureDomain", item.name(), "revision", item.revision());
		}
		return readable;
	}

	private void reportChanges() {
		for (EvacuationChange change : this.evacuated.evacuations().drainChanges()) {
			this.log.decision(change.active() ? "evacuation-in-force" : "evacuation-over", "failureDomain",
					change.failureDomain(), "revision", change.revision(), "ageMs",
					TimeUnit.NANOSECONDS.toMillis(change.durationNanos()));
		}
		this.metrics.evacuatedFailureDomains(this.evacuated.evacuations().failureDomains().size());
	}

	/**
	 * Logs that a request was refused because all runners of its service are in evacuated
	 * failure domains.
	 */
	void requestRefused(DispatchEffect.Refuse refuse, long nowNanos) {
		if (refuse.code().name().equals(NO_RUNNER) && this.evacuated.includesAll(refuse.job().service())) {
			this.evacuated.evacuations()
				.failureDomains()
				.forEach((failureDomain) -> this.log.failure("refused-by-evacuation", "attempt",
						refuse.job().attemptId(), "service", refuse.job().service(), "failureDomain", failureDomain,
						"ageMs", ageMillis(failureDomain, nowNanos)));
		}
	}

	private long ageMillis(String failureDomain, long nowNanos) {
		long since = this.evacuated.evacuations().sinceNanos(failureDomain).orElse(nowNanos);
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - since);
	}

}
