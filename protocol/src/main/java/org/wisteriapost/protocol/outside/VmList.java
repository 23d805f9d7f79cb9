package org.wisteriapost.protocol.outside;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving VMs, which may lag.
 */
public interface VmList extends AutoCloseable {

	/**
	 * Returns the platform's current list; it may lag by seconds.
	 */
	CompletableFuture<List<Vm>> read();

	@Override
	void close();

	/**
	 * A VM of the list.
	 *
	 * @param vm its name
	 * @param place its failure domain
	 * @param region its region
	 * @param role {@code entry} or {@code agent}
	 * @param service the service of an endpoint VM; empty for an entry
	 * @param host its IP address
	 * @param linkPort port of its wisteriapost process for links
	 * @param httpPort port of an entry for callers; 0 for an agent
	 * @param leaving whether it is about to be removed
	 */
	record Vm(String vm, String place, String region, String role, String service, String host, int linkPort,
			int httpPort, boolean leaving) {
	}

}
