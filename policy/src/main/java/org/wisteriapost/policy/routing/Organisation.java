package org.wisteriapost.policy.routing;

import java.util.OptionalInt;

/**
 * Who sends requests.
 *
 * @param name its name, as runners hear it
 * @param priority goes before the route's when present; 0 is the most urgent
 */
public record Organisation(String name, OptionalInt priority) {
}
