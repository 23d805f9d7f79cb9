package org.wisteriapost.policy.bundle;

/**
 * What one agent says of itself in the platform, for operators to read.
 *
 * @param vm the endpoint VM
 * @param place its failure domain
 * @param service what it is set to serve
 * @param generation of the head it has adopted
 * @param digest of the bundle it has adopted
 * @param serving weights digest read back from its runner; empty when it serves none
 * @param admitting whether it takes calls
 * @param verified chunks fetched and verified
 * @param total chunks that the adopted bundle needs
 * @param failing code of what stops it, empty when nothing does
 */
public record VmStatus(String vm, String place, String service, long generation, String digest, String serving,
		boolean admitting, int verified, int total, String failing) {
}
