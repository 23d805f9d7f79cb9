package org.wisteriapost.policy.dispatch;

import java.util.OptionalInt;
import java.util.OptionalLong;

import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * Status of a model engine, as reported by the agent on its VM.
 *
 * @param weightsVersion the weights version that the engine holds; empty if it holds none
 * @param switching whether the engine rejects requests because it is switching weights
 * @param switchStartNanos when the engine stops accepting requests for a planned weights
 * switch
 * @param incarnation the incarnation of the engine that the report refers to
 */
public record EngineStatus(OptionalInt weightsVersion, boolean switching, OptionalLong switchStartNanos,
		RunnerIncarnation incarnation) {
}
