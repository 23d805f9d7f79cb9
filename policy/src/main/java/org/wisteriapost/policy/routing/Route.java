package org.wisteriapost.policy.routing;

import java.time.Duration;
import java.util.List;

/**
 * How one host's requests under one path prefix are handled.
 *
 * @param name for logs
 * @param host the host, lower-case, without a port
 * @param prefix the path prefix; starts and ends with a slash
 * @param kind what may be repeated
 * @param timeout the longest time to the final answer
 * @param target the time to the answer, or to a stream's first event, that callers expect
 * @param priority 0 is the most urgent
 * @param services where requests go, by weight
 * @param maxAttempts the most runners that one request may be sent to
 * @param anonymous whether requests need no token
 * @param resumable whether a stream may go on at another runner after its last event
 * @param targetGap the longest pause between events that callers expect
 */
public record Route(String name, String host, String prefix, RouteKind kind, Duration timeout, Duration target,
		int priority, List<WeightedService> services, int maxAttempts, boolean anonymous, boolean resumable,
		Duration targetGap) {

	public Route {
		services = List.copyOf(services);
	}

	/**
	 * Returns whether a request that may have run may be sent again: it is idempotent, or
	 * a stream that goes on after its last event.
	 */
	public boolean repeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Returns the service for a request.
	 * @param draw a number from 0 to below 1, drawn anew for each request
	 */
	public String service(double draw) {
		long total = this.services.stream().mapToLong(WeightedService::weight).sum();
		double left = draw * total;
		for (WeightedService one : this.services) {
			left -= one.weight();
			if (left < 0) {
				return one.service();
			}
		}
		return this.services.getLast().service();
	}

	/**
	 * One service's part of a route.
	 *
	 * @param service its name
	 * @param weight its part of the sum of all weights
	 */
	public record WeightedService(String service, int weight) {
	}

}
