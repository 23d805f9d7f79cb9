package org.wisteriapost.protocol.site;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;

import org.wisteriapost.policy.coldstart.ColdStartBound;
import org.wisteriapost.policy.region.RegionMap;

/**
 * The settings of a process and its site.
 *
 * @param name the VM's name
 * @param host the VM's IP address
 * @param failureDomain its failure domain
 * @param region its region
 * @param callerAddress the address for callers; for an entry
 * @param readinessAddress the address of the readiness check; for an entry
 * @param directoryAddress the address of the directory of entries; for an entry
 * @param linkPort port for links from other wisteriapost processes, the same on every VM
 * @param adminPort port of the metrics
 * @param storeUri URI of the site's object store
 * @param runner the runner on the same VM, {@code IP:PORT}; for an agent
 * @param service the service of that runner; for an agent
 * @param linkBytesPerSecond bandwidth of the VM's network link
 * @param guarantees the site's guarantees that the process has to meet
 * @param regions the region of each failure domain
 */
public record SiteSettings(String name, String host, String failureDomain, String region,
		Optional<InetSocketAddress> callerAddress, Optional<InetSocketAddress> readinessAddress,
		Optional<InetSocketAddress> directoryAddress, int linkPort, int adminPort, URI storeUri,
		Optional<String> runner, String service, long linkBytesPerSecond, Guarantees guarantees, RegionMap regions) {

	/**
	 * Creates the settings of a process that knows no region but its own.
	 */
	public SiteSettings(String name, String host, String failureDomain, String region,
			Optional<InetSocketAddress> callerAddress, Optional<InetSocketAddress> readinessAddress,
			Optional<InetSocketAddress> directoryAddress, int linkPort, int adminPort, URI storeUri,
			Optional<String> runner, String service, long linkBytesPerSecond, Guarantees guarantees) {
		this(name, host, failureDomain, region, callerAddress, readinessAddress, directoryAddress, linkPort, adminPort,
				storeUri, runner, service, linkBytesPerSecond, guarantees, RegionMap.NONE);
	}

	/**
	 * The site's guarantees.
	 *
	 * @param shutdownGrace from the termination signal until the process is killed
	 * @param declarationActivationDelay activation delay of a declaration of routes,
	 * tokens or limits
	 * @param weightsActivationDelay activation delay of a target weights version: until
	 * no request starts on older ones
	 * @param maxRetryShare limit on retries as a share of all requests, over all entries
	 * @param retryBurst retries allowed in addition in one window, over all entries
	 * @param retryWindow the window in which retries are counted
	 * @param directoryMaxAge maximum time that callers cache a directory response
	 * @param coldStartBound limit on the requests to cold runners
	 * @param evacuationDelay activation delay of an evacuation; empty if the site has no
	 * evacuations
	 */
	public record Guarantees(Duration shutdownGrace, Duration declarationActivationDelay,
			Duration weightsActivationDelay, double maxRetryShare, int retryBurst, Duration retryWindow,
			Duration directoryMaxAge, ColdStartBound coldStartBound, Optional<Duration> evacuationDelay) {

		/**
		 * Creates the guarantees of a site without evacuations.
		 */
		public Guarantees(Duration shutdownGrace, Duration declarationActivationDelay, Duration weightsActivationDelay,
				double maxRetryShare, int retryBurst, Duration retryWindow, Duration directoryMaxAge) {
			this(shutdownGrace, declarationActivationDelay, weightsActivationDelay, maxRetryShare, retryBurst,
					retryWindow, directoryMaxAge, ColdStartBound.STRICT, Optional.empty());
		}

	}

}
