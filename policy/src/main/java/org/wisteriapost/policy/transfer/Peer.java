package org.wisteriapost.policy.transfer;

/**
 * Another VM that fetches or holds the same files.
 *
 * @param vm its name
 * @param place its failure domain
 */
public record Peer(String vm, String place) {
}
