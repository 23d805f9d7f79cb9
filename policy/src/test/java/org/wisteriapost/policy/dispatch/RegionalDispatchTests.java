package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.region.AllowedRegions;
import org.wisteriapost.policy.region.RegionMap;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.RouteTable;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * The entry is in dakar (hall-a). Guards against requests that reach a runner in a region
 * that is not allowed, and against callers that wait for a runner that can't be used.
 */
class RegionalDispatchTests {

	private static final RegionMap REGIONS = new RegionMap(
			Map.of("hall-a", "dakar", "hall-b", "lima", "hall-c", "oslo"));

	private static final InFlightLoad FULL = new InFlightLoad(10, 0, 0);

	private final DispatcherHarness harness = new DispatcherHarness(REGIONS);

	private static AllowedRegions regions(String names) {
		return AllowedRegions.declared((names != null) ? List.of(names.split(" ")) : List.of());
	}

	private static Route restricted(Route route, String names) {
		return new Route(route.name(), route.host(), route.prefix(), route.kind(), route.timeout(),
				route.targetLatency(), route.priority(), route.services(), route.maxAttempts(), route.anonymous(),
				route.resumable(), route.targetGap(), regions(names));
	}

	private static Optional<Organisation> organisation(String names) {
		return Optional.of(new Organisation("baobab", OptionalInt.empty(), regions(names)));
	}

	private static RunnerInfo lookup(String failureDomain, String id, boolean draining) {
		return new RunnerInfo(id, "registry-api", "10.0.2.1:" + (1000 + id.hashCode() % 9000), failureDomain, 6,
				draining, 0, Map.of(), draining ? 2 : 1, RunnerIncarnation.UNKNOWN);
	}

	private void registerLookups(String failureDomains) {
		Stream.of(failureDomains.split(" "))
			.forEach((domain) -> this.harness.register(lookup(domain, domain.replace("hall-", ""), false)));
	}

	// Both restrictions bind, and the local runner is passed over. hall-x has no known
	// region.
	@ParameterizedTest
	@CsvSource({ "hall-a hall-b,lima,,Send:b", "hall-a hall-b,,lima,Send:b",
			"hall-a hall-b hall-c,lima oslo,oslo,Send:c", "hall-a hall-b hall-c,lima oslo,dakar lima,Send:b",
			"hall-a hall-x hall-b,lima,,Send:b", "hall-a,,,Send:a", "hall-x,,,Send:x",
			"hall-a hall-c,lima,,Refuse:region-unavailable", "hall-a hall-c,,lima,Refuse:region-unavailable",
			"hall-x,dakar lima oslo,,Refuse:region-unavailable",
			"hall-a hall-b hall-c,dakar,lima,Refuse:region-unavailable" })
	void requestIsPlacedInAllowedRegionsOrRefusedAtOnce(String domains, String ofRoute, String ofOrganisation,
			String expected) {
		registerLookups(domains);
		this.harness.arrive(restricted(DispatcherHarness.LOOKUP, ofRoute), organisation(ofOrganisation));
		assertThat(this.harness.effectNames(), Matchers.contains(expected));
	}

	// Guards against a refusal by an entry that has not read the runners yet, and against
	// a wait where no runner could help.
	@ParameterizedTest
	@CsvSource({ "lima,,false", "dakar,lima,true" })
	void requestWaitsOnlyWhileNoRunnerIsKnown(String ofRoute, String ofOrganisation, boolean refused) {
		this.harness.arrive(restricted(DispatcherHarness.LOOKUP, ofRoute), organisation(ofOrganisation));
		assertThat(this.harness.effectNames(),
				refused ? Matchers.contains("Refuse:region-unavailable") : Matchers.empty());
	}

	@ParameterizedTest
	@EnumSource(names = { "NOT_SENT", "FULL", "MISDIRECTED", "BROKEN" })
	void retryStaysInsideAllowedRegions(DispatchOutcome outcome) {
		registerLookups("hall-a hall-b hall-c");
		Job job = this.harness.arrive(restricted(DispatcherHarness.LOOKUP, "lima oslo"), Optional.empty());
		this.harness.ended(job, outcome);
		assertThat(this.harness.effectNames(), Matchers.containsInAnyOrder("Send:b", "Send:c"));
	}

	@Test
	void streamResumesInsideAllowedRegions() {
		this.harness.register(DispatcherHarness.engine("a"), DispatcherHarness.engineIn("hall-b", "b1"),
				DispatcherHarness.engineIn("hall-b", "b2"));
		Job job = this.harness.arrive(restricted(DispatcherHarness.STREAM, "lima"), Optional.empty());
		this.harness.firstEvent(job);
		this.harness.ended(job, DispatchOutcome.BROKEN);
		assertThat(this.harness.effectNames(), Matchers.containsInAnyOrder("Send:b1", "Send:b2"));
	}

	// The only runner of the region has failed: the stream ends rather than resume
	// elsewhere.
	@Test
	void streamEndsWhereNoOtherRunnerIsAllowed() {
		this.harness.register(DispatcherHarness.engine("a"), DispatcherHarness.engineIn("hall-b", "b"));
		Job job = this.harness.arrive(restricted(DispatcherHarness.STREAM, "lima"), Optional.empty());
		this.harness.firstEvent(job);
		this.harness.dispatcher.departures().registrationRemoved("b", this.harness.nowNanos);
		this.harness.ended(job, DispatchOutcome.BROKEN);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:b", "Fail:run-broken"));
	}

	// A request that waits is refused as soon as the last runner that it could use is
	// leaving or gone.
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void waitingRequestIsRefusedWhenLastAllowedRunnerGoes(boolean draining) {
		registerLookups("hall-a hall-b");
		this.harness.reportPeerLoad("b", FULL);
		this.harness.arrive(restricted(DispatcherHarness.LOOKUP, "lima"), Optional.empty());
		assertThat(this.harness.effectNames(), Matchers.empty());
		if (draining) {
			this.harness.register(lookup("hall-b", "b", true));
		}
		else {
			this.harness.dispatcher.departures().registrationRemoved("b", this.harness.nowNanos);
		}
		assertThat(this.harness.advance(1).effectNames(), Matchers.contains("Refuse:region-unavailable"));
	}

	@Test
	void runnersThatRegisterLaterAreUsed() {
		registerLookups("hall-a");
		Route route = restricted(DispatcherHarness.LOOKUP, "lima");
		this.harness.arrive(route, Optional.empty());
		registerLookups("hall-b");
		this.harness.arrive(route, Optional.empty());
		assertThat(this.harness.effectNames(), Matchers.contains("Refuse:region-unavailable", "Send:b"));
	}

	@Test
	void waitingRequestKeepsDeclarationsItArrivedWith() {
		registerLookups("hall-a hall-b");
		this.harness.reportPeerLoad("b", FULL);
		this.harness.arrive(restricted(DispatcherHarness.LOOKUP, "lima"), Optional.empty());
		this.harness.dispatcher.updateRouteTable(table(2, "dakar"));
		assertThat(this.harness.advance(20).effectNames(), Matchers.empty());
		this.harness.reportPeerLoad("b", new InFlightLoad(0, 0, 0));
		assertThat(this.harness.advance(20).effectNames(), Matchers.contains("Send:b"));
		Route changed = table(2, "dakar").route("desk.example", "/lookup/").orElseThrow();
		this.harness.arrive(changed, Optional.empty());
		assertThat(this.harness.effectNames(), Matchers.contains("Send:a"));
	}

	// The entry whose table is older serves by that one; neither uses a runner outside
	// its own table's regions.
	@ParameterizedTest
	@CsvSource({ "1,lima,Send:b", "2,oslo,Send:c" })
	void eachEntryServesByItsOwnTable(long version, String names, String expected) {
		registerLookups("hall-a hall-b hall-c");
		RouteTable table = table(version, names);
		this.harness.dispatcher.updateRouteTable(table);
		this.harness.arrive(table.route("desk.example", "/lookup/").orElseThrow(), Optional.empty());
		assertThat(this.harness.effectNames(), Matchers.contains(expected));
	}

	private static RouteTable table(long version, String names) {
		return RouteTable.of(version, List.of(restricted(DispatcherHarness.LOOKUP, names)), List.of(), Map.of(),
				new CallLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
	}

	// Guards against an entry elsewhere that fills four runners of the region while the
	// others are idle.
	@Test
	void entryElsewhereUsesAllRunnersOfTheRegion() {
		IntStream.range(0, 39)
			.forEach((i) -> this.harness.register(lookup("hall-" + "abc".charAt(i % 3), "r" + i, false)));
		Set<String> used = new HashSet<>();
		for (int i = 0; i < 52; i++) {
			this.harness.arrive(restricted(DispatcherHarness.LOOKUP, "lima"), Optional.empty());
			used.addAll(this.harness.effectNames());
		}
		assertThat(used, Matchers.hasSize(13));
	}

	// Guards against a refusal where a request without restriction would wait for a slot:
	// the region's slots are not shared by all entries.
	@ParameterizedTest
	@CsvSource({ "'',false", "lima,false", "dakar lima,false", "lima,true" })
	void restrictedRequestWaitsForASlotAsOthersDo(String names, boolean free) {
		this.harness.dispatcher.updateEntryCount(EntryCount.unpartitioned(40));
		for (int i = 0; i < 36; i++) {
			this.harness.register(DispatcherHarness.engineIn("hall-" + "abc".charAt(i % 3), "e" + i));
			this.harness.reportPeerLoad("e" + i, new InFlightLoad(free ? 4 : 18, 0, 0));
		}
		this.harness.arrive(restricted(DispatcherHarness.STREAM, names.isEmpty() ? null : names), Optional.empty());
		assertThat(this.harness.effectNames(), free ? Matchers.hasSize(1) : Matchers.empty());
	}

	// Runners elsewhere say nothing about when a restricted request can be served.
	@Test
	void requestIsRefusedAtOnceWhileAllAllowedRunnersRest() {
		registerLookups("hall-a hall-b");
		this.harness.dispatcher.departures()
			.restStated(lookup("hall-b", "b", false), Duration.ofSeconds(3), this.harness.nowNanos);
		this.harness.arrive(restricted(DispatcherHarness.LOOKUP, "lima"), Optional.empty());
		assertThat(this.harness.effectNames(), Matchers.contains("Refuse:runner-resting"));
	}

	// Runners in the only allowed region are evacuated: a request that waited for them
	// would be refused later anyway.
	@Test
	void requestIsRefusedAtOnceWhileAllAllowedRunnersAreEvacuated() {
		registerLookups("hall-a hall-b");
		this.harness.dispatcher.evacuated().begin("hall-b", 1, this.harness.nowNanos);
		this.harness.arrive(restricted(DispatcherHarness.LOOKUP, "lima"), Optional.empty());
		assertThat(this.harness.effectNames(), Matchers.contains("Refuse:region-unavailable"));
	}

	// Guards RunnerEligibility itself, which also holds if the selection of runners were
	// outdated.
	@ParameterizedTest
	@CsvSource({ "hall-a,false", "hall-b,true", "hall-x,false" })
	void runnersOutsideAllowedRegionsAreNotEligible(String domain, boolean eligible) {
		Job job = this.harness.arrive(restricted(DispatcherHarness.LOOKUP, "lima"), Optional.empty());
		RunnerEligibility eligibility = new RunnerEligibility(new WeightsFence(Duration.ofSeconds(8)), REGIONS,
				this.harness.dispatcher.evacuated());
		assertThat(eligibility.eligible(job, RunnerState.registeredAs(lookup(domain, "r", false)), Optional.empty(),
				OptionalInt.empty(), this.harness.nowNanos), Matchers.equalTo(eligible));
	}

}
