package org.wisteriapost.policy.agent;

/**
 * A platform object's value and version.
 *
 * @param value its bytes
 * @param version number of updates so far, starting at 1
 */
public record StoredObject(byte[] value, long version) {
}
