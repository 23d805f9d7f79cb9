package org.wisteriapost.protocol.site;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The fields that the headers of a runner's response carry.
 *
 * @param attemptId id of the attempt that it answers
 * @param notRun whether the runner guarantees that the request has not run
 * @param otherIncarnation whether another incarnation of a runner has the address
 * @param weightsVersion the version that served the request
 */
public record RunnerResponseFields(Optional<String> attemptId, boolean notRun, boolean otherIncarnation,
		OptionalInt weightsVersion) {
}
