package org.wisteriapost.policy.transfer;

/**
 * Another VM that fetches or holds the same files.
 *
 * @param vm its name
 * @param failureDomain its failure domain
 */
public record Peer(String vm, String failureDomain) {
}
