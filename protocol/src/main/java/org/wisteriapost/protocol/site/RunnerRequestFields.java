package org.wisteriapost.protocol.site;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The fields that an entry adds to a caller's request to a runner.
 *
 * @param remainingMillis time left until the caller's deadline
 * @param incarnation the incarnation of the runner that the request is for; any other
 * rejects it
 * @param organisation the caller's organisation, when known
 * @param priority priority from 0 to 9; 0 is admitted first
 * @param weightsVersion the only version that may serve it, when restricted
 * @param lastEventId id of the event after which a stream is resumed
 */
public record RunnerRequestFields(long remainingMillis, String incarnation, Optional<String> organisation, int priority,
		OptionalInt weightsVersion, Optional<String> lastEventId) {
}
