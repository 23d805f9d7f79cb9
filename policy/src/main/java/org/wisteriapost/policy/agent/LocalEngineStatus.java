package org.wisteriapost.policy.agent;

/**
 * Status reported by an engine; its load figures may be stale.
 *
 * @param weightsDigest weights that it serves; empty when none are loaded
 * @param loading whether it is carrying out an order
 * @param running number of calls in progress
 * @param queued number of calls queued
 * @param capacity maximum number of concurrent calls, 0 when not reported
 * @param generation generation of the last accepted order
 * @param epoch epoch of the last accepted order
 */
public record LocalEngineStatus(String weightsDigest, boolean loading, int running, int queued, int capacity,
		long generation, long epoch) {
}
