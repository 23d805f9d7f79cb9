package org.wisteriapost.policy.dispatch;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the agent beside an engine says of it.
 *
 * @param version of the weights that it holds; empty when it holds none
 * @param switching whether it takes no requests now, since it changes weights
 * @param closesNanos when it will take none, when that is planned
 */
public record EngineWord(OptionalInt version, boolean switching, OptionalLong closesNanos) {
}
