package org.wisteriapost.policy.dispatch;

import java.util.OptionalInt;
import java.util.OptionalLong;

import org.wisteriapost.policy.fleet.RunnerStart;

/**
 * What the agent beside an engine says of it.
 *
 * @param version of the weights that it holds; empty when it holds none
 * @param switching whether it takes no requests now, since it changes weights
 * @param closesNanos when it will take none, when that is planned
 * @param start the start of the engine that this is said of
 */
public record EngineWord(OptionalInt version, boolean switching, OptionalLong closesNanos, RunnerStart start) {
}
