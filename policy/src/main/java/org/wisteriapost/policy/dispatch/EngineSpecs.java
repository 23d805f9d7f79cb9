package org.wisteriapost.policy.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.coldstart.ColdStart;
import org.wisteriapost.policy.routing.EngineSpec;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * The engine specifications of the current route table, and how runners behave after a
 * start.
 */
final class EngineSpecs {

	private Optional<RouteTable> table = Optional.empty();

	private Map<String, ColdStart> coldStarts = Map.of();

	void update(RouteTable newer) {
		this.table = Optional.of(newer);
		Map<String, ColdStart> byService = new HashMap<>();
		newer.services()
			.forEach((spec) -> spec.coldStart().ifPresent((coldStart) -> byService.put(spec.name(), coldStart)));
		this.coldStarts = Map.copyOf(byService);
	}

	/**
	 * Returns the specification of a service's engines, if it runs any.
	 */
	Optional<EngineSpec> of(String service) {
		return this.table.flatMap((known) -> known.service(service)).flatMap((spec) -> spec.engine());
	}

	/**
	 * Returns the services whose runners can be cold, by name.
	 */
	Map<String, ColdStart> coldStarts() {
		return this.coldStarts;
	}

}
