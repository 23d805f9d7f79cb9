package org.wisteriapost.policy.routing;

import java.util.Optional;

/**
 * What is declared of one service.
 *
 * @param name its name
 * @param maxConnections the most connections that one of its runners takes from all
 * callers together
 * @param engine present when its runners are model engines
 * @param origin present when the service is the origin of weights
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<OriginSpec> origin) {

	/**
	 * Where weights are published.
	 *
	 * @param address as {@code IP:PORT}
	 * @param bytesPerSecond what its link carries
	 */
	public record OriginSpec(String address, double bytesPerSecond) {
	}

}
