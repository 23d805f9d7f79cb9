package org.wisteriapost.protocol.site;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The fields that the headers of a runner's response carry.
 *
 * @param attemptId id of the attempt that it answers
 * @param notRun whether the runner guarantees that the request has not run
 * @param otherIncarnation whether another incarnation of a runner has the address
 * @param leaving whether the runner states that it is about to end
 * @param rest for how long the runner, which turns the request away, wants no requests
 * from this entry
 * @param coldStart for how much longer the runner is cold after its start, if it is
 * @param weightsVersion the version that served the request
 * @param requestsPerSecond the rate that the runner takes from all entries together, when
 * it limits that
 * @param rateUnreadable whether it names a limit that is no number
 */
public record RunnerResponseFields(Optional<String> attemptId, boolean notRun, boolean otherIncarnation,
		boolean leaving, Optional<Duration> rest, Optional<Duration> coldStart, OptionalInt weightsVersion,
		OptionalDouble requestsPerSecond, boolean rateUnreadable) {
}
