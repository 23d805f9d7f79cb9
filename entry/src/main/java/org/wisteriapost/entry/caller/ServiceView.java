package org.wisteriapost.entry.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.routing.RejectionPermit;

/**
 * What the HTTP side may know of the entry's state; replaced whole by the event loop.
 *
 * @param generation of the bundle in force, 0 for none
 * @param services by name
 * @param entries addresses for callers
 * @param leaving whether this entry refuses new requests because it leaves
 * @param ready whether it has a bundle and a link to an agent
 * @param rejections whether the bundle is recent enough to call a request wrong by it
 */
public record ServiceView(long generation, Map<String, ServiceSpec> services, List<String> entries, boolean leaving,
		boolean ready, RejectionPermit rejections) {

	/** Nothing is known yet. */
	public static final ServiceView EMPTY = new ServiceView(0, Map.of(), List.of(), false, false, RejectionPermit.NONE);

	public ServiceView {
		services = Map.copyOf(services);
		entries = List.copyOf(entries);
	}

	/**
	 * Returns whether a request may be called wrong by the bundle now.
	 * @param nowNanos on the monotonic clock
	 * @param nowDayMillis the time of day, in milliseconds since 1970
	 */
	public boolean mayReject(long nowNanos, long nowDayMillis) {
		return this.rejections.allows(nowNanos, nowDayMillis);
	}

	/**
	 * Returns a service by name.
	 */
	Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

}
