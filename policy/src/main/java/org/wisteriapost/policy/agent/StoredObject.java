package org.wisteriapost.policy.agent;

/**
 * A platform object's value and version.
 *
 * @param value its bytes
 * @param version counts its updates, from 1
 */
public record StoredObject(byte[] value, long version) {
}
