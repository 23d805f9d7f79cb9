package org.wisteriapost.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of everything that operators declare of traffic. Versions only move up in a
 * process: a reader that lags must not bring a removed route or token back.
 */
public final class RouteTable {

	private static final Comparator<Route> LONGEST_PREFIX_FIRST = Comparator
		.comparingInt((Route route) -> route.prefix().length())
		.reversed();

	private final long version;

	private final Map<String, List<Route>> routes;

	private final Map<String, ServiceSpec> services;

	private final Map<String, Organisation> tokens;

	private final CallLimits limits;

	private RouteTable(long version, Map<String, List<Route>> routes, Map<String, ServiceSpec> services,
			Map<String, Organisation> tokens, CallLimits limits) {
		this.version = version;
		this.routes = routes;
		this.services = services;
		this.tokens = tokens;
		this.limits = limits;
	}

	/**
	 * Returns a table.
	 * @param tokens each organisation by its bearer tokens; empty when none are asked for
	 */
	public static RouteTable of(long version, List<Route> routes, List<ServiceSpec> services,
			Map<String, Organisation> tokens, CallLimits limits) {
		Map<String, List<Route>> byHost = new HashMap<>();
		routes.stream()
			.sorted(LONGEST_PREFIX_FIRST)
			.forEach((route) -> byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route));
		Map<String, ServiceSpec> byName = new HashMap<>();
		services.forEach((service) -> byName.put(service.name(), service));
		return new RouteTable(version, byHost, byName, Map.copyOf(tokens), limits);
	}

	public long version() {
		return this.version;
	}

	public CallLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the route with the longest prefix of a path.
	 * @param host lower-case, without a port
	 * @param path as sent, without the query
	 */
	public Optional<Route> route(String host, String path) {
		for (Route route : this.routes.getOrDefault(host, List.of())) {
			if (path.startsWith(route.prefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns whether requests carry tokens at all.
	 */
	public boolean asksForTokens() {
		return !this.tokens.isEmpty();
	}

	/**
	 * Returns who holds a token.
	 */
	public Optional<Organisation> organisation(String token) {
		return Optional.ofNullable(this.tokens.get(token));
	}

	/**
	 * Returns a service by name.
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the address of the origin of weights, when one is declared.
	 */
	public Optional<ServiceSpec.OriginSpec> origin() {
		return this.services.values().stream().flatMap((service) -> service.origin().stream()).findFirst();
	}

	/**
	 * Returns all services.
	 */
	public Collection<ServiceSpec> services() {
		return this.services.values();
	}

}
