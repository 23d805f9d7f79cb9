package org.wisteriapost.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.policy.region.AllowedRegions;

/**
 * An immutable snapshot of all declarations for routing: routes, services, tokens and
 * limits. Within a process the version only increases: a source that lags must not
 * restore a removed route or token.
 */
public final class RouteTable {

	private static final Comparator<Route> LONGEST_PREFIX_FIRST = Comparator
		.comparingInt((Route route) -> route.prefix().length())
		.reversed();

	private final long version;

	private final Map<String, List<Route>> routes;

	// By host, for hosts with restricted routes only.
	private final Map<String, AllowedRegions> allowedRegions;

	private final Map<String, ServiceSpec> services;

	private final Map<String, Organisation> tokens;

	private final CallLimits limits;

	private RouteTable(long version, Map<String, List<Route>> routes, Map<String, AllowedRegions> allowedRegions,
			Map<String, ServiceSpec> services, Map<String, Organisation> tokens, CallLimits limits) {
		this.version = version;
		this.routes = routes;
		this.allowedRegions = allowedRegions;
		this.services = services;
		this.tokens = tokens;
		this.limits = limits;
	}

	/**
	 * Returns a table.
	 * @param tokens the organisations by bearer token; empty when requests need no token
	 */
	public static RouteTable of(long version, List<Route> routes, List<ServiceSpec> services,
			Map<String, Organisation> tokens, CallLimits limits) {
		Map<String, List<Route>> byHost = new HashMap<>();
		routes.stream()
			.sorted(LONGEST_PREFIX_FIRST)
			.forEach((route) -> byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route));
		Map<String, AllowedRegions> allowedRegions = new HashMap<>();
		routes.stream()
			.filter((route) -> route.allowedRegions().restricted())
			.forEach((route) -> allowedRegions.merge(route.host(), route.allowedRegions(), AllowedRegions::and));
		Map<String, ServiceSpec> byName = new HashMap<>();
		services.forEach((service) -> byName.put(service.name(), service));
		return new RouteTable(version, byHost, allowedRegions, byName, Map.copyOf(tokens), limits);
	}

	public long version() {
		return this.version;
	}

	public CallLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the route with the longest prefix that matches a path.
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
	 * Returns the regions that all routes of a host allow.
	 * @param host lower-case, without a port
	 */
	public AllowedRegions allowedRegions(String host) {
		return this.allowedRegions.getOrDefault(host, AllowedRegions.ANY);
	}

	/**
	 * Returns whether any tokens are declared; without any, requests need none.
	 */
	public boolean requiresTokens() {
		return !this.tokens.isEmpty();
	}

	/**
	 * Returns the organisation that a token belongs to.
	 */
	public Optional<Organisation> organisation(String token) {
		return Optional.ofNullable(this.tokens.get(token));
	}

	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the origin of weights, if one is declared.
	 */
	public Optional<ServiceSpec.OriginSpec> origin() {
		return this.services.values().stream().flatMap((service) -> service.origin().stream()).findFirst();
	}

	public Collection<ServiceSpec> services() {
		return this.services.values();
	}

}
