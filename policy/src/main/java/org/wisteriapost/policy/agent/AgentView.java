package org.wisteriapost.policy.agent;

import java.util.Map;
import java.util.Optional;

/**
 * What an agent says of itself, to entries, operators and metrics.
 *
 * @param admitting whether new calls are taken
 * @param leaving whether the VM is to go
 * @param weightsDigest what the runner serves, read back from it
 * @param generation of the accepted bundle
 * @param digest of the accepted bundle
 * @param running calls at the runner
 * @param capacity calls at once
 * @param queued calls waiting here or at the runner
 * @param verified chunks
 * @param total chunks
 * @param failing code of what stops it, empty when nothing does
 * @param epoch of this agent, 0 before it is known
 * @param headGeneration the highest head heard of
 * @param headDigest its digest
 * @param bundle the accepted bundle, to pass on
 */
public record AgentView(boolean admitting, boolean leaving, String weightsDigest, long generation, String digest,
		int running, int capacity, int queued, long verified, long total, String failing, long epoch,
		long headGeneration, String headDigest, Optional<BundleCopy> bundle) {

	/** Before the first event. */
	public static final AgentView STARTING = new AgentView(false, false, "", 0, "", 0, 0, 0, 0, 0, "", 0, 0, "",
			Optional.empty());

	/**
	 * Returns whether others must hear of the change at once.
	 */
	boolean differs(AgentView before) {
		return this.admitting != before.admitting || this.leaving != before.leaving
				|| this.generation != before.generation || !this.weightsDigest.equals(before.weightsDigest)
				|| !this.failing.equals(before.failing) || this.epoch != before.epoch;
	}

	/**
	 * A checked bundle as it is passed on.
	 *
	 * @param content canonical bytes
	 * @param signatures by operator
	 */
	public record BundleCopy(byte[] content, Map<String, byte[]> signatures) {
	}

}
