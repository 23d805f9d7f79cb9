package org.wisteriapost.policy.coldstart;

import java.time.Duration;

/**
 * How the runners of a service behave after a start.
 *
 * @param duration how long a runner that starts during traffic stays cold
 * @param perSecond the requests per second that a cold runner tolerates
 */
public record ColdStart(Duration duration, double perSecond) {
}
