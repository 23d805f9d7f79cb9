package org.wisteriapost.policy.dispatch;

import java.util.Optional;
import java.util.OptionalInt;

import org.wisteriapost.policy.region.RegionMap;
import org.wisteriapost.policy.routing.EngineSpec;

/**
 * Decides which runners a request may be sent to at all.
 *
 * A runner that is leaving, switches weights, wants no requests or has no known network
 * path would fail the request or delay it by seconds. No request may be sent to a runner
 * in an evacuated failure domain.
 */
final class RunnerEligibility {

	private final WeightsFence fence;

	private final RegionMap regions;

	private final EvacuatedRunners evacuated;

	RunnerEligibility(WeightsFence fence, RegionMap regions, EvacuatedRunners evacuated) {
		this.fence = fence;
		this.regions = regions;
		this.evacuated = evacuated;
	}

	/**
	 * Returns whether a request may be sent to a runner now.
	 * @param version the weights version that the request must start on
	 */
	boolean eligible(Job job, RunnerState runner, Optional<EngineSpec> engine, OptionalInt version, long nowNanos) {
		if (runner.draining() || runner.removed || runner.switching() || runner.backedOff(nowNanos)
				|| runner.rest.active(nowNanos) || runner.path.probing() || runner.path.blocked(nowNanos)) {
			return false;
		}
		if (this.evacuated.includes(runner)
				|| !this.regions.permits(job.allowedRegions(), runner.info.failureDomain())) {
			return false;
		}
		if (job.isAt(runner)) {
			return false;
		}
		if (job.triedRunners.contains(runner.info.id()) && job.triedRunners.size() < 3) {
			return false;
		}
		if (engine.isEmpty()) {
			return true;
		}
		OptionalInt held = runner.weightsVersion(engine.get().model());
		if (held.isEmpty()) {
			return false;
		}
		// A started stream is resumed only on the same weights version. The resumed run
		// starts anew, so that version must still be acceptable.
		boolean same = job.events() == 0 || job.weightsVersion().isEmpty() || held.equals(job.weightsVersion());
		return same && (version.isEmpty() || held.getAsInt() >= version.getAsInt());
	}

	/**
	 * Returns whether a runner is withdrawn from service: it is leaving, gone or in an
	 * evacuated failure domain. Another incarnation of it may take requests.
	 */
	boolean withdrawn(RunnerState runner) {
		return runner.draining() || runner.removed || this.evacuated.includes(runner);
	}

	/**
	 * Returns whether a request may start at a runner only after the weights that the
	 * runner holds have been replaced. A runner on probation or behind a suspect network
	 * path is judged by its own longest wait, including that of late requests.
	 */
	boolean mayStartTooLate(RunnerState runner, Optional<EngineSpec> engine, long nowNanos) {
		boolean suspect = runner.health.onProbation() || runner.path.suspect(nowNanos);
		if (engine.isEmpty() || !suspect) {
			return false;
		}
		long observed = Math.max(runner.firstEventWaits.maxNanos(false, nowNanos),
				runner.firstEventWaits.maxNanos(true, nowNanos));
		long wait = Math.max(observed, runner.path.delayNanos(nowNanos));
		OptionalInt version = this.fence.requiredVersion(engine.get().model(), wait, nowNanos);
		OptionalInt held = runner.weightsVersion(engine.get().model());
		return version.isPresent() && held.isPresent() && held.getAsInt() < version.getAsInt();
	}

}
