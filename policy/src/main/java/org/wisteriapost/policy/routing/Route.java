package org.wisteriapost.policy.routing;

import java.time.Duration;
import java.util.List;

import org.wisteriapost.policy.region.AllowedRegions;

/**
 * The declaration of how requests of a host with a path prefix are handled.
 *
 * @param name the name in logs
 * @param host the host, lower-case, without a port
 * @param prefix the path prefix; starts and ends with a slash
 * @param kind which requests may be retried
 * @param timeout the maximum time to the final answer
 * @param targetLatency the target latency of the answer, or of a stream's first event
 * @param priority 0 is the most urgent
 * @param services the services that handle requests, by weight
 * @param maxAttempts the maximum number of runners that one request is sent to
 * @param anonymous whether requests need no token
 * @param resumable whether a stream may resume at another runner after its last event
 * @param targetGap the target for the longest pause between events
 * @param allowedRegions the regions in which its requests may be handled
 */
public record Route(String name, String host, String prefix, RouteKind kind, Duration timeout, Duration targetLatency,
		int priority, List<WeightedService> services, int maxAttempts, boolean anonymous, boolean resumable,
		Duration targetGap, AllowedRegions allowedRegions) {

	public Route {
		services = List.copyOf(services);
	}

	/**
	 * Creates a route whose requests may be handled in every region.
	 */
	public Route(String name, String host, String prefix, RouteKind kind, Duration timeout, Duration targetLatency,
			int priority, List<WeightedService> services, int maxAttempts, boolean anonymous, boolean resumable,
			Duration targetGap) {
		this(name, host, prefix, kind, timeout, targetLatency, priority, services, maxAttempts, anonymous, resumable,
				targetGap, AllowedRegions.ANY);
	}

	/**
	 * Returns whether a request that may have run may be retried: it is idempotent, or a
	 * stream that resumes after its last event.
	 */
	public boolean retryable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Selects the service for a request, by weight.
	 * @param draw a random number from 0 inclusive to 1 exclusive
	 */
	public String selectService(double draw) {
		long total = this.services.stream().mapToLong(WeightedService::weight).sum();
		double remaining = draw * total;
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.getLast().service();
	}

	/**
	 * A service of a route, with its share of the requests.
	 *
	 * @param service its name
	 * @param weight its share of the sum of all weights
	 */
	public record WeightedService(String service, int weight) {
	}

}
