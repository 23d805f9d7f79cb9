package org.wisteriapost.policy.dispatch;

import org.wisteriapost.policy.fleet.RunnerStart;

/**
 * Requests that one or more entries have in flight at one incarnation of a runner.
 *
 * @param runner the id of the runner
 * @param start the incarnation of the runner
 * @param load the requests in flight
 */
public record RunnerLoad(String runner, RunnerStart start, PeerLoad load) {
}
