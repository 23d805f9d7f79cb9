package org.wisteriapost.policy.bundle;

/**
 * The status that an agent stores in the platform for operators.
 *
 * @param vm the VM
 * @param place its failure domain
 * @param service the service it is configured for
 * @param generation generation of the head that it has adopted
 * @param digest digest of the bundle that it has adopted
 * @param serving digest of the weights reported by its runner; empty when it serves none
 * @param admitting whether it accepts requests
 * @param verified number of chunks fetched and verified
 * @param total number of chunks that the adopted bundle needs
 * @param failing code of the error that prevents progress; empty if there is none
 */
public record VmStatus(String vm, String place, String service, long generation, String digest, String serving,
		boolean admitting, int verified, int total, String failing) {
}
