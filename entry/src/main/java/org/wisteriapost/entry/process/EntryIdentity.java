package org.wisteriapost.entry.process;

/**
 * The identity of an entry.
 *
 * @param vm the name of its VM
 * @param failureDomain its failure domain
 * @param addressCacheSeconds how long callers may cache its address
 */
public record EntryIdentity(String vm, String failureDomain, long addressCacheSeconds) {
}
