package org.wisteriapost.policy.membership;

/**
 * A VM of the VM list.
 *
 * @param vm its name
 * @param failureDomain its failure domain
 * @param entry whether it is an entry; otherwise it is an endpoint VM
 * @param service the service of an endpoint VM; empty for an entry
 * @param host its IP address
 * @param linkPort the port for links
 * @param httpPort an entry's port for callers
 * @param leaving whether the list reports that it is leaving
 */
public record Member(String vm, String failureDomain, boolean entry, String service, String host, int linkPort,
		int httpPort, boolean leaving) {
}
