package org.wisteriapost.protocol.site;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the head of a runner's answer says.
 *
 * @param attempt the attempt that it answers
 * @param notRun the runner promises that the request has not run
 * @param otherInstance another start of a runner has the address
 * @param weightsVersion of the weights that answer
 */
public record RunnerReply(Optional<String> attempt, boolean notRun, boolean otherInstance, OptionalInt weightsVersion) {
}
