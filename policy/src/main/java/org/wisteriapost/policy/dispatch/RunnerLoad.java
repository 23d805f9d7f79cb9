package org.wisteriapost.policy.dispatch;

import org.wisteriapost.policy.fleet.RunnerIncarnation;

/**
 * Requests that one or more entries have in flight at one incarnation of a runner.
 *
 * @param runnerId the id of the runner
 * @param incarnation the incarnation of the runner
 * @param load the requests in flight
 */
public record RunnerLoad(String runnerId, RunnerIncarnation incarnation, InFlightLoad load) {
}
