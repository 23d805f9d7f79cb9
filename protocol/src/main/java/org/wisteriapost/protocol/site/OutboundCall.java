package org.wisteriapost.protocol.site;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What an entry tells a runner beside the caller's own request.
 *
 * @param remainingMillis what is left of the caller's time
 * @param instance the start of the runner that the request is for; any other refuses it
 * @param organisation who sends it, when known
 * @param rank 0 to 9, 0 is admitted first
 * @param weightsVersion the only version it may run on, when that matters
 * @param lastEvent the event after which a stream goes on
 */
public record OutboundCall(long remainingMillis, String instance, Optional<String> organisation, int rank,
		OptionalInt weightsVersion, Optional<String> lastEvent) {
}
