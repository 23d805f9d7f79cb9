package org.wisteriapost.policy.dispatch;

import java.util.OptionalInt;
import java.util.OptionalLong;

import org.wisteriapost.policy.fleet.RunnerStart;

/**
 * Status of a model engine, as reported by the agent on its VM.
 *
 * @param version the weights version that the engine holds; empty if it holds none
 * @param switching whether the engine rejects requests because it is switching weights
 * @param closesNanos when the engine stops accepting requests for a planned weights
 * switch
 * @param start the incarnation of the engine that the report refers to
 */
public record EngineWord(OptionalInt version, boolean switching, OptionalLong closesNanos, RunnerStart start) {
}
