package org.wisteriapost.entry.process;

/**
 * Who this entry is.
 *
 * @param vm its VM's name
 * @param place its failure domain
 * @param keepSeconds how long callers may keep an address answer that names it
 */
public record Identity(String vm, String place, long keepSeconds) {
}
