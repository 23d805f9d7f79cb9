package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;

/**
 * A kind of the requests of a simulation.
 *
 * @param name the name in the results and of its route
 * @param rank its declared rank; 0 is the most urgent
 * @param target the target latency of the first event
 * @param worth the factor of the worth of its requests
 * @param share its share of the requests, relative to the other kinds
 */
public record RequestKind(String name, int rank, Duration target, double worth, double share) {
}
