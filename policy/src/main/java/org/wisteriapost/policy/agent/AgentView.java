package org.wisteriapost.policy.agent;

import java.util.Map;
import java.util.Optional;

/**
 * Status of an agent as reported to entries, operators and metrics.
 *
 * @param admitting whether new calls are accepted
 * @param leaving whether the VM is draining before it shuts down
 * @param weightsDigest weights that the runner serves, read back from it
 * @param generation generation of the accepted bundle
 * @param digest digest of the accepted bundle
 * @param running number of calls at the runner
 * @param capacity maximum number of concurrent calls
 * @param queued number of calls queued at the gate or the runner
 * @param verified number of chunks fetched and verified
 * @param total number of chunks needed
 * @param failing code of the current failure, empty when there is none
 * @param epoch epoch of this agent, 0 before it is acquired
 * @param headGeneration generation of the highest head received
 * @param headDigest digest of that head's bundle
 * @param bundle the accepted bundle, forwarded to peers
 */
public record AgentView(boolean admitting, boolean leaving, String weightsDigest, long generation, String digest,
		int running, int capacity, int queued, long verified, long total, String failing, long epoch,
		long headGeneration, String headDigest, Optional<BundleCopy> bundle) {

	/** Status before the first event. */
	public static final AgentView STARTING = new AgentView(false, false, "", 0, "", 0, 0, 0, 0, 0, "", 0, 0, "",
			Optional.empty());

	/**
	 * Returns whether the change must be reported to entries immediately.
	 */
	boolean requiresImmediateReport(AgentView previous) {
		return this.admitting != previous.admitting || this.leaving != previous.leaving
				|| this.generation != previous.generation || !this.weightsDigest.equals(previous.weightsDigest)
				|| !this.failing.equals(previous.failing) || this.epoch != previous.epoch;
	}

	/**
	 * A verified bundle as it is forwarded to peers.
	 *
	 * @param content canonical bytes
	 * @param signatures signatures by operator
	 */
	public record BundleCopy(byte[] content, Map<String, byte[]> signatures) {
	}

}
