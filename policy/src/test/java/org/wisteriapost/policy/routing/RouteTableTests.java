package org.wisteriapost.policy.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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

	@Test
	void aTableWithoutTokensRequiresNone() {
		assertThat(this.table.requiresTokens(), Matchers.equalTo(false));
	}

}
