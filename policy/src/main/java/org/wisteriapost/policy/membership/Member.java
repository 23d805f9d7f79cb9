package org.wisteriapost.policy.membership;

/**
 * One VM as the VM list names it.
 *
 * @param vm its name
 * @param place its failure domain
 * @param entry whether it is an entry; otherwise an endpoint VM
 * @param service the service of an endpoint VM; empty for an entry
 * @param host its IP number
 * @param linkPort where its process takes links
 * @param httpPort where an entry takes callers
 * @param leaving whether the list says it is about to go
 */
public record Member(String vm, String place, boolean entry, String service, String host, int linkPort, int httpPort,
		boolean leaving) {
}
