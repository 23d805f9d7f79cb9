package org.wisteriapost.policy.agent;

import java.time.Duration;

/**
 * An agent's figures, from the settings.
 *
 * @param capacity calls at once at a plain runner, and at an engine that states none
 * @param queue calls that may wait at the gate
 * @param lease how long a look at the own epoch in the platform allows an order
 * @param fresh how old the platform's word on the head may be when a starting agent first
 * relies on it
 * @param slotExpiry after how long without a sign a switching VM no longer counts as
 * switching but as lost
 * @param share largest share of a place's runners of one service that switch at once
 * @param drain longest wait for running calls when leaving
 */
public record AgentLimits(int capacity, int queue, Duration lease, Duration fresh, Duration slotExpiry, double share,
		Duration drain) {
}
