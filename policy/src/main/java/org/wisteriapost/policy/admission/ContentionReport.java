package org.wisteriapost.policy.admission;

import java.time.Duration;
import java.util.OptionalInt;

/**
 * A report that a request found no free slot.
 *
 * @param service the service of the request
 * @param rank its rank; empty from an entry of an older version
 * @param ago the time since then
 */
public record ContentionReport(String service, OptionalInt rank, Duration ago) {
}
