package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.AdvertisedEntries;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.region.AllowedRegions;
import org.wisteriapost.policy.region.DirectoryQuery;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.RejectionPermit;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.policy.routing.RouteTable;

import static org.hamcrest.MatcherAssert.assertThat;

/** Restricted requests at an entry in region r1 that knows the region of no runner. */
class RegionalRequestTests {

	private static final String FREE = "free.example";

	private final EntryStateFixture entry = new EntryStateFixture();

	private final DirectView view = new DirectView(new EntryClocks(() -> 0, () -> 0));

	@AfterEach
	void stop() {
		this.entry.close();
	}

	private static RouteTable table(long version, String regions) {
		List<Route> routes = Stream.of(EntryStateFixture.HOST, FREE)
			.map((host) -> new Route(host, host, "/", RouteKind.IDEMPOTENT, Duration.ofSeconds(1),
					Duration.ofMillis(100), 1, List.of(new WeightedService("api", 1)), 2, true, false, Duration.ZERO,
					host.equals(FREE) ? AllowedRegions.ANY : AllowedRegions.declared(List.of(regions.split(" ")))))
			.toList();
		return RouteTable.of(version, routes, List.of(), Map.of(),
				new CallLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
	}

	// Guards against a refusal whose reason the log and the metrics don't show.
	@ParameterizedTest
	@CsvSource({ "r1 r2,inside", "r2,outside" })
	void refusalIsLoggedWithItsInputsAndCounted(String regions, String place) {
		this.entry.listOnSelf(List.of(this.entry.routes(5, table(1, regions))),
				List.of(this.entry.runner(5, "10.0.0.1:80")));
		assertThat(this.entry.request("/x/", Optional.empty()), Matchers.equalTo("refused region-unavailable"));
		assertThat(
				this.entry.meters().get("wisteriapost.entry.regional.requests").tag("entry", place).counter().count(),
				Matchers.equalTo(1.0));
		assertThat(this.entry.logLines(), Matchers.hasItem(Matchers
			.containsString("\"service\":\"api\",\"regions\":\"" + regions + "\",\"table\":1,\"tableAgeMs\":")));
	}

	// Guards against fields and counters in deployments without restrictions.
	@Test
	void unrestrictedRequestIsLoggedAsBefore() {
		this.entry.listOnSelf(List.of(this.entry.routes(5, EntryStateFixture.table(1, "/x/"))),
				List.of(this.entry.runner(5, "10.0.0.1:80")));
		assertThat(this.entry.request("/x/", Optional.of(EntryStateFixture.TOKEN)),
				Matchers.equalTo("sent to 10.0.0.1:80"));
		assertThat(this.entry.meters().find("wisteriapost.entry.regional.requests").counters(), Matchers.empty());
		assertThat(this.entry.logLines(), Matchers.not(Matchers.hasItem(Matchers.containsString("regions"))));
	}

	private static List<EntryInfo> entries() {
		return Stream.of("r1", "r1", "r1", "r2", "r2", "r2", "r3", "r3")
			.map((region) -> new EntryInfo(region, 1, region, "127.0.0.1:2", region.replace('r', 'p'), region))
			.toList();
	}

	private void publish(Optional<RouteTable> table, boolean scoped) {
		this.view.publish(true, false, entries(), scoped, table, RejectionPermit.NONE, false);
	}

	private String addresses(String host, String region, String domain) {
		DirectoryQuery query = new DirectoryQuery(Optional.ofNullable(host), Optional.ofNullable(region),
				Optional.ofNullable(domain));
		return String.join(" ", this.view.addresses(query).stream().distinct().toList());
	}

	// Guards against callers that are directed to entries elsewhere.
	@ParameterizedTest
	@CsvSource({ "r2,r1,p1,false,r1 r2", "r2,r1,p1,true,r1", "r2,r3,p3,true,r2 r3", "r2,,,false,r2",
			"r2 r3,r1,,false,r1 r2 r3", "r9,r1,p1,false,r1", "r9,,,false,r1 r2 r3" })
	void directoryNamesEntriesInAllowedRegionsOrTheCallersOwn(String allowed, String region, String domain,
			boolean scoped, String expected) {
		publish(Optional.of(table(1, allowed)), scoped);
		assertThat(addresses(EntryStateFixture.HOST, region, domain), Matchers.equalTo(expected));
	}

	// Guards against another answer than before where no route of the host is restricted,
	// and before the table is known.
	@ParameterizedTest
	@CsvSource({ "free.example,r1,p1,true,true", "free.example,r1,p1,false,true", "free.example,r2,p3,true,true",
			",r1,p1,true,true", ",r1,,false,true", "other.example,r3,p2,true,true", "desk.example,r1,p1,true,false" })
	void directoryAnswersAsBeforeWithoutRestriction(String host, String region, String domain, boolean scoped,
			boolean tableKnown) {
		publish(tableKnown ? Optional.of(table(1, "r2")) : Optional.empty(), scoped);
		String before = String.join(" ",
				AdvertisedEntries.select(entries(), Optional.ofNullable(domain), scoped)
					.stream()
					.map(EntryInfo::callerAddress)
					.distinct()
					.toList());
		assertThat(addresses(host, region, domain), Matchers.equalTo(before));
	}

	// An entry with an older table answers by that one until the newer one arrives.
	@Test
	void directoryAnswersByTheActiveTable() {
		publish(Optional.of(table(1, "r2")), false);
		assertThat(addresses(EntryStateFixture.HOST, "r1", null), Matchers.equalTo("r1 r2"));
		publish(Optional.of(table(2, "r3")), false);
		assertThat(addresses(EntryStateFixture.HOST, "r1", null), Matchers.equalTo("r1 r3"));
	}

}
