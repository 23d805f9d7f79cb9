package org.wisteriapost.policy.agent;

import java.time.Duration;

/**
 * Limits and timeouts of an agent, from the settings.
 *
 * @param defaultCapacity maximum concurrent calls at a plain runner, and at an engine
 * that reports no capacity
 * @param maxQueuedCalls maximum number of calls queued at the gate
 * @param leaseDuration how long orders may be sent after the agent's epoch was confirmed
 * in the platform
 * @param maxHeadStaleness maximum staleness of a head at which a starting agent first
 * relies on it
 * @param slotExpiry time without a heartbeat after which a switching VM counts as
 * unresponsive
 * @param maxSwitchingShare maximum share of a failure domain's runners of one service
 * that switch weights concurrently
 * @param drainTimeout maximum time to wait for running calls before the process stops
 */
public record AgentLimits(int defaultCapacity, int maxQueuedCalls, Duration leaseDuration, Duration maxHeadStaleness,
		Duration slotExpiry, double maxSwitchingShare, Duration drainTimeout) {
}
