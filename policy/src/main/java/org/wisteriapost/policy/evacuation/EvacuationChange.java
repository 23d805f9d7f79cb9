package org.wisteriapost.policy.evacuation;

/**
 * The start or the end of an evacuation, as far as this entry knows.
 *
 * @param failureDomain the failure domain
 * @param active whether the evacuation is in force now
 * @param revision the store's revision of its object
 * @param durationNanos how long it was in force here; 0 when it starts
 */
public record EvacuationChange(String failureDomain, boolean active, long revision, long durationNanos) {
}
