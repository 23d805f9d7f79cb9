package org.wisteriapost.protocol.outside;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The lagging list of live and leaving VMs.
 */
public interface VmList extends AutoCloseable {

	/**
	 * Returns the list as the platform believes it now; it may lag by seconds.
	 */
	CompletableFuture<List<Vm>> read();

	@Override
	void close();

	/**
	 * One VM of the list.
	 *
	 * @param vm its name
	 * @param place its failure domain
	 * @param region its region
	 * @param role {@code entry} or {@code agent}
	 * @param service the service of an endpoint VM; empty for an entry
	 * @param host its IP number
	 * @param linkPort where its wisteriapost process takes links
	 * @param httpPort where an entry takes callers; 0 for an agent
	 * @param leaving whether it is about to go
	 */
	record Vm(String vm, String place, String region, String role, String service, String host, int linkPort,
			int httpPort, boolean leaving) {
	}

}
