package org.wisteriapost.protocol.site;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;

/**
 * What a process is told of itself and its site.
 *
 * @param name the VM's name
 * @param host the VM's IP number
 * @param place its failure domain
 * @param region its region
 * @param front where callers connect; for an entry
 * @param readiness where the site asks whether the entry is ready; for an entry
 * @param directory where callers ask for addresses; for an entry
 * @param linkPort where other wisteriapost processes connect, the same on every VM
 * @param adminPort where counters are served
 * @param store the site's object store
 * @param runner the runner beside this process, {@code IP:PORT}; for an agent
 * @param service the service of that runner; for an agent
 * @param linkBytesPerSecond what the VM's own link carries
 * @param bounds the site's promises that the process has to keep
 */
public record SiteSettings(String name, String host, String place, String region, Optional<InetSocketAddress> front,
		Optional<InetSocketAddress> readiness, Optional<InetSocketAddress> directory, int linkPort, int adminPort,
		URI store, Optional<String> runner, String service, long linkBytesPerSecond, Bounds bounds) {

	/**
	 * The site's promises.
	 *
	 * @param grace from the signal to leave until the process is killed
	 * @param declaredInForce from a declaration of routes, tokens or limits until it
	 * binds
	 * @param weightsInForce from naming weights until no request starts on older ones
	 * @param retryShare requests sent again, as a share of all, over all entries
	 * @param retryExtra more of them in one window, over all entries
	 * @param retryWindow the window in which they are counted
	 * @param directoryKeep the longest time that callers keep an address answer
	 */
	public record Bounds(Duration grace, Duration declaredInForce, Duration weightsInForce, double retryShare,
			int retryExtra, Duration retryWindow, Duration directoryKeep) {
	}

}
