package org.wisteriapost.protocol.site;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;

/**
 * The settings of a process and its site.
 *
 * @param name the VM's name
 * @param host the VM's IP address
 * @param place its failure domain
 * @param region its region
 * @param front the address for callers; for an entry
 * @param readiness the address of the readiness check; for an entry
 * @param directory the address of the directory of entries; for an entry
 * @param linkPort port for links from other wisteriapost processes, the same on every VM
 * @param adminPort port of the metrics
 * @param store URI of the site's object store
 * @param runner the runner on the same VM, {@code IP:PORT}; for an agent
 * @param service the service of that runner; for an agent
 * @param linkBytesPerSecond bandwidth of the VM's network link
 * @param bounds the site's guarantees that the process has to meet
 */
public record SiteSettings(String name, String host, String place, String region, Optional<InetSocketAddress> front,
		Optional<InetSocketAddress> readiness, Optional<InetSocketAddress> directory, int linkPort, int adminPort,
		URI store, Optional<String> runner, String service, long linkBytesPerSecond, Bounds bounds) {

	/**
	 * The site's guarantees.
	 *
	 * @param grace from the termination signal until the process is killed
	 * @param declaredInForce activation delay of a declaration of routes, tokens or
	 * limits
	 * @param weightsInForce activation delay of a target weights version: until no
	 * request starts on older ones
	 * @param retryShare limit on retries as a share of all requests, over all entries
	 * @param retryExtra retries allowed in addition in one window, over all entries
	 * @param retryWindow the window in which retries are counted
	 * @param directoryKeep maximum time that callers cache a directory response
	 */
	public record Bounds(Duration grace, Duration declaredInForce, Duration weightsInForce, double retryShare,
			int retryExtra, Duration retryWindow, Duration directoryKeep) {
	}

}
