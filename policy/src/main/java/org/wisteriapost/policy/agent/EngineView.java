package org.wisteriapost.policy.agent;

/**
 * What an engine says of itself; its load lags.
 *
 * @param weightsDigest what it serves; empty when nothing
 * @param loading whether it is carrying out an order
 * @param running calls in progress
 * @param queued calls waiting
 * @param capacity calls at once
 * @param generation of the last order taken
 * @param epoch of the last order taken
 */
public record EngineView(String weightsDigest, boolean loading, int running, int queued, int capacity, long generation,
		long epoch) {
}
