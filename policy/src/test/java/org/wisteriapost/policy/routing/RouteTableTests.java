package org.wisteriapost.policy.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.region.AllowedRegions;

import static org.hamcrest.MatcherAssert.assertThat;

class RouteTableTests {

	private final RouteTable table = RouteTable.of(3, List.of(route("short", "/a/", 1), route("long", "/a/b/", 1)),
			List.of(), Map.of(), new CallLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));

	private static Route route(String name, String prefix, int weight) {
		return new Route(name, "one.example", prefix, RouteKind.IDEMPOTENT, Duration.ofSeconds(1),
				Duration.ofSeconds(1), 1,
				List.of(new Route.WeightedService("first", weight), new Route.WeightedService("second", 9)), 1, false,
				false, Duration.ZERO);
	}

	@ParameterizedTest
	@CsvSource({ "one.example,/a/x,short", "one.example,/a/b/x,long", "one.example,/a/b,short", "one.example,/b/,",
			"two.example,/a/x," })
	void theRouteWithTheLongestPrefixIsSelected(String host, String path, String expected) {
		assertThat(this.table.route(host, path).map(Route::name), Matchers.equalTo(Optional.ofNullable(expected)));
	}

	@ParameterizedTest
	@CsvSource({ "0.0,first", "0.099,first", "0.1,second", "0.999,second" })
	void servicesAreSelectedByWeight(double draw, String expected) {
		assertThat(route("split", "/a/", 1).selectService(draw), Matchers.equalTo(expected));
	}

	// Guards against a host whose routes differ: a caller uses the same entries for all.
	@ParameterizedTest
	@CsvSource({ "lima oslo|oslo dakar|,oslo", "lima||,lima", "lima|oslo,''", "||,", "lima|/other,lima" })
	void aHostIsRestrictedToWhatAllItsRoutesAllow(String routes, String expected) {
		RouteTable restricted = RouteTable.of(1,
				Stream.of(routes.split("\\|")).map(RouteTableTests::restricted).toList(), List.of(), Map.of(),
				this.table.limits());
		assertThat(restricted.allowedRegions("one.example").names().map((names) -> String.join(" ", names)),
				Matchers.equalTo(Optional.ofNullable(expected)));
	}

	private static Route restricted(String regions) {
		return new Route("restricted", regions.startsWith("/") ? "two.example" : "one.example", "/a/",
				RouteKind.IDEMPOTENT, Duration.ofSeconds(1), Duration.ofSeconds(1), 1,
				List.of(new Route.WeightedService("first", 1)), 1, false, false, Duration.ZERO,
				AllowedRegions.declared(regions.isEmpty() ? List.of() : List.of(regions.split(" "))));
	}

	@Test
	void aTableWithoutTokensRequiresNone() {
		assertThat(this.table.requiresTokens(), Matchers.equalTo(false));
	}

}
