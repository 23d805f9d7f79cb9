package org.wisteriapost.entry.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.routing.RejectionPermit;

/**
 * An immutable snapshot of the entry's state for the HTTP threads, replaced by the event
 * loop.
 *
 * @param generation the generation of the active bundle, 0 if there is none
 * @param services the bundle's services by name
 * @param entries the addresses of entries that are advertised to callers
 * @param leaving whether this entry refuses new requests because it is leaving
 * @param ready whether it has a bundle and a link to an agent
 * @param rejectionPermit until when requests may be rejected by the bundle
 */
public record EntryView(long generation, Map<String, ServiceSpec> services, List<String> entries, boolean leaving,
		boolean ready, RejectionPermit rejectionPermit) {

	/** The state before the first bundle. */
	public static final EntryView EMPTY = new EntryView(0, Map.of(), List.of(), false, false, RejectionPermit.NONE);

	public EntryView {
		services = Map.copyOf(services);
		entries = List.copyOf(entries);
	}

	/**
	 * Returns whether a request may be rejected for good by the bundle now.
	 * @param nowNanos the monotonic clock
	 * @param nowWallMillis the wall clock, in milliseconds since 1970
	 */
	public boolean mayReject(long nowNanos, long nowWallMillis) {
		return this.rejectionPermit.allows(nowNanos, nowWallMillis);
	}

	Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

}
