package org.wisteriapost.policy.routing;

import java.util.OptionalInt;

/**
 * An organisation that sends requests.
 *
 * @param name its name, as sent to runners
 * @param priority overrides the route's priority when present; 0 is the most urgent
 */
public record Organisation(String name, OptionalInt priority) {
}
