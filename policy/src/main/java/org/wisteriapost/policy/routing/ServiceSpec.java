package org.wisteriapost.policy.routing;

import java.util.Optional;

import org.wisteriapost.policy.coldstart.ColdStart;

/**
 * The declaration of a service.
 *
 * @param name its name
 * @param maxConnections the maximum number of connections that one of its runners accepts
 * from all callers together
 * @param engine present if its runners are model engines
 * @param origin present if the service is the origin of weights
 * @param coldStart present if its runners tolerate fewer requests after a start
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<OriginSpec> origin,
		Optional<ColdStart> coldStart) {

	/**
	 * Creates a service whose runners are never cold.
	 */
	public ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<OriginSpec> origin) {
		this(name, maxConnections, engine, origin, Optional.empty());
	}

	/**
	 * The origin from which weights are downloaded.
	 *
	 * @param address {@code IP:PORT}
	 * @param bytesPerSecond the bandwidth of its link
	 */
	public record OriginSpec(String address, double bytesPerSecond) {
	}

}
