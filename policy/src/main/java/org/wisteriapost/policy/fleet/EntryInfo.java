package org.wisteriapost.policy.fleet;

/**
 * The registration of one incarnation of an entry.
 *
 * @param name the VM's name
 * @param started differs between the incarnations of an entry; neither a timestamp nor
 * ordered
 * @param front the address for callers, {@code IP:PORT}
 * @param link the address for links from other wisteriapost processes, {@code IP:PORT}
 * @param place its failure domain
 * @param region its region
 */
public record EntryInfo(String name, long started, String front, String link, String place, String region) {
}
