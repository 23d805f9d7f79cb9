package org.wisteriapost.policy.agent;

import java.util.Map;
import java.util.Optional;

/**
 * Status of an agent as reported to entries, operators and metrics.
 *
 * @param admitting whether new calls are accepted
 * @param leaving whether the VM is draining before it shuts down
 * @param weightsDigest weights that the runner serves, read back from it
 * @param bundleGeneration generation of the accepted bundle
 * @param bundleDigest digest of the accepted bundle
 * @param runningCalls number of calls at the runner
 * @param capacity maximum number of concurrent calls
 * @param queuedCalls number of calls queued at the gate or the runner
 * @param verifiedChunks number of chunks fetched and verified
 * @param totalChunks number of chunks needed
 * @param failureCode code of the current failure, empty when there is none
 * @param epoch epoch of this agent, 0 before it is acquired
 * @param headGeneration generation of the highest head received
 * @param headDigest digest of that head's bundle
 * @param bundle the accepted bundle, forwarded to peers
 */
public record AgentStatus(boolean admitting, boolean leaving, String weightsDigest, long bundleGeneration,
		String bundleDigest, int runningCalls, int capacity, int queuedCalls, long verifiedChunks, long totalChunks,
		String failureCode, long epoch, long headGeneration, String headDigest, Optional<SignedBundle> bundle) {

	/** Status before the first event. */
	public static final AgentStatus INITIAL = new AgentStatus(false, false, "", 0, "", 0, 0, 0, 0, 0, "", 0, 0, "",
			Optional.empty());

	/**
	 * Returns whether the change must be reported to entries immediately.
	 */
	boolean requiresImmediateReport(AgentStatus previous) {
		return this.admitting != previous.admitting || this.leaving != previous.leaving
				|| this.bundleGeneration != previous.bundleGeneration
				|| !this.weightsDigest.equals(previous.weightsDigest) || !this.failureCode.equals(previous.failureCode)
				|| this.epoch != previous.epoch;
	}

	/**
	 * A verified bundle as it is forwarded to peers.
	 *
	 * @param content canonical bytes
	 * @param signatures signatures by operator
	 */
	public record SignedBundle(byte[] content, Map<String, byte[]> signatures) {
	}

}
