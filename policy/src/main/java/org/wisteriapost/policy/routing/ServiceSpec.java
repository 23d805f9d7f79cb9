package org.wisteriapost.policy.routing;

import java.util.Optional;

/**
 * The declaration of a service.
 *
 * @param name its name
 * @param maxConnections the maximum number of connections that one of its runners accepts
 * from all callers together
 * @param engine present if its runners are model engines
 * @param origin present if the service is the origin of weights
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<OriginSpec> origin) {

	/**
	 * The origin from which weights are downloaded.
	 *
	 * @param address {@code IP:PORT}
	 * @param bytesPerSecond the bandwidth of its link
	 */
	public record OriginSpec(String address, double bytesPerSecond) {
	}

}
