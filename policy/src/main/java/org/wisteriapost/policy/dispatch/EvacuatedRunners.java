package org.wisteriapost.policy.dispatch;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;

import org.wisteriapost.policy.evacuation.Evacuations;

/**
 * The runners in evacuated failure domains, which are sent no requests. Requests that
 * wait are placed again when the set of these failure domains has changed.
 */
public final class EvacuatedRunners {

	private final Evacuations evacuations = new Evacuations();

	private final RunnerRegistry registry;

	private final ColdRunners coldRunners;

	private final LongConsumer placeWaiting;

	/**
	 * Creates the view without evacuations.
	 * @param placeWaiting places waiting requests at a time
	 */
	EvacuatedRunners(RunnerRegistry registry, ColdRunners coldRunners, LongConsumer placeWaiting) {
		this.registry = registry;
		this.coldRunners = coldRunners;
		this.placeWaiting = placeWaiting;
	}

	/**
	 * Returns the evacuations in force.
	 */
	public Evacuations evacuations() {
		return this.evacuations;
	}

	/**
	 * Replaces all evacuations.
	 * @param revisions the revisions of the objects by failure domain
	 */
	public void replaceAll(Map<String, Long> revisions, long nowNanos) {
		Set<String> ended = new HashSet<>(this.evacuations.failureDomains());
		boolean changed = this.evacuations.replaceAll(revisions, nowNanos);
		ended.removeAll(this.evacuations.failureDomains());
		ended(ended, nowNanos);
		placeWaitingIf(changed, nowNanos);
	}

	// The revision of the end is unknown.
	private void ended(Set<String> failureDomains, long nowNanos) {
		failureDomains
			.forEach((failureDomain) -> this.coldRunners.evacuationEnded(failureDomain, Long.MAX_VALUE, nowNanos));
	}

	/**
	 * Records that the site's store was restored from a copy.
	 */
	public void storeRestored(long nowNanos) {
		this.evacuations.storeRestored(nowNanos);
	}

	/**
	 * Ends the evacuations that a restored store lacks for too long, and returns whether
	 * there were any.
	 */
	public boolean tick(long nowNanos) {
		Set<String> ended = this.evacuations.tick(nowNanos);
		ended(ended, nowNanos);
		placeWaitingIf(!ended.isEmpty(), nowNanos);
		return !ended.isEmpty();
	}

	/**
	 * Applies the object of an evacuation that was written.
	 */
	public void begin(String failureDomain, long revision, long nowNanos) {
		placeWaitingIf(this.evacuations.begin(failureDomain, revision, nowNanos), nowNanos);
	}

	/**
	 * Applies the removal of the object of an evacuation.
	 */
	public void end(String failureDomain, long revision, long nowNanos) {
		boolean ended = this.evacuations.end(failureDomain, revision, nowNanos);
		if (ended) {
			this.coldRunners.evacuationEnded(failureDomain, revision, nowNanos);
		}
		placeWaitingIf(ended, nowNanos);
	}

	private void placeWaitingIf(boolean changed, long nowNanos) {
		if (changed) {
			this.placeWaiting.accept(nowNanos);
		}
	}

	/**
	 * Returns whether a service has runners that are not leaving, and all of these are in
	 * evacuated failure domains.
	 */
	public boolean includesAll(String service) {
		if (this.evacuations.isEmpty()) {
			return false;
		}
		boolean staying = false;
		for (RunnerState runner : this.registry.forService(service)) {
			if (!runner.draining() && !runner.removed) {
				staying = true;
				if (!includes(runner)) {
					return false;
				}
			}
		}
		return staying;
	}

	/**
	 * Returns whether a runner is in an evacuated failure domain.
	 */
	boolean includes(RunnerState runner) {
		return this.evacuations.active(runner.info.failureDomain());
	}

}
