package org.wisteriapost.policy.fleet;

/**
 * One start of an entry, as it registers itself.
 *
 * @param name the VM's name
 * @param started nanoseconds that tell a later start from an earlier one by being
 * different; not a time
 * @param front where callers connect, {@code IP:PORT}
 * @param link where other wisteriapost processes connect, {@code IP:PORT}
 * @param place its failure domain
 * @param region its region
 */
public record EntryInfo(String name, long started, String front, String link, String place, String region) {
}
