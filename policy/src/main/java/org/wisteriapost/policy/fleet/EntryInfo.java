package org.wisteriapost.policy.fleet;

/**
 * The registration of one incarnation of an entry.
 *
 * @param name the VM's name
 * @param incarnation differs between the incarnations of an entry; neither a timestamp
 * nor ordered
 * @param callerAddress the address for callers, {@code IP:PORT}
 * @param linkAddress the address for links from other wisteriapost processes,
 * {@code IP:PORT}
 * @param failureDomain its failure domain
 * @param region its region
 */
public record EntryInfo(String name, long incarnation, String callerAddress, String linkAddress, String failureDomain,
		String region) {
}
