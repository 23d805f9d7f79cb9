package org.wisteriapost.policy.dispatch;

import java.util.Optional;

import org.wisteriapost.policy.routing.EngineSpec;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * The engine specifications of the current route table.
 */
final class EngineSpecs {

	private Optional<RouteTable> table = Optional.empty();

	void update(RouteTable newer) {
		this.table = Optional.of(newer);
	}

	/**
	 * Returns the specification of a service's engines, if it runs any.
	 */
	Optional<EngineSpec> of(String service) {
		return this.table.flatMap((known) -> known.service(service)).flatMap((spec) -> spec.engine());
	}

}
