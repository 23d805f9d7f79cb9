package org.wisteriapost.policy.dispatch;

import org.wisteriapost.policy.fleet.RunnerStart;

/**
 * What one entry has at one start of a runner.
 *
 * @param runner its id
 * @param start which start of it
 * @param load what is in flight
 */
public record RunnerLoad(String runner, RunnerStart start, PeerLoad load) {
}
