package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.protocol.site.ObjectKind;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fleets of 40 entries whose failure domains are evacuated.
 */
class EvacuationFleetTests {

	private static final Duration DELAY = Duration.ofSeconds(5);

	private static final int ENTRIES = 40;

	private static final int RUNNERS = 24;

	// One in each failure domain.
	private static final int NEW_ENTRIES = 3;

	private static final int REQUESTS_PER_SECOND = 60;

	static Stream<Arguments> fleets() {
		return Stream.of(Set.of("hall-b"), Set.of("hall-a", "hall-c"))
			.flatMap((evacuated) -> Arrays.stream(Fault.values())
				.flatMap((fault) -> IntStream.rangeClosed(1, Math.ceilDiv(FleetHarness.SEEDS, 2))
					.mapToObj((seed) -> Arguments.of(evacuated, fault, seed))));
	}

	// Guards against requests that reach a domain later than the activation delay after
	// the store has acknowledged its evacuation, also from entries that start meanwhile
	// or lose their leader, and against runners that stay unused after its end. Guards
	// also against calls by entries other than the leader of each domain, which makes one
	// every 0.8 s and one for each change.
	@ParameterizedTest
	@MethodSource("fleets")
	void requestsAvoidDomainsWithinTheDelayAndReturnWithinIt(Set<String> evacuated, Fault fault, long seed) {
		try (FleetHarness fleet = new FleetHarness(ENTRIES, RUNNERS, seed, (entry) -> Optional.of(DELAY))) {
			FleetTraffic traffic = new FleetTraffic(fleet, REQUESTS_PER_SECOND);
			fleet.run(Duration.ofSeconds(8));
			assertThat(arrivals(fleet, evacuated, fleet.now() - FleetHarness.SECOND), Matchers.not(Matchers.empty()));
			evacuated.forEach(fleet::evacuate);
			fault.strike(fleet);
			long inForceNanos = fleet.now() + DELAY.toNanos();
			int callsBefore = fleet.storeCalls.get(ObjectKind.EVACUATIONS);
			fleet.run(Duration.ofSeconds(15));
			assertThat(arrivals(fleet, evacuated, inForceNanos), Matchers.hasSize(0));
			int calls = fleet.storeCalls.get(ObjectKind.EVACUATIONS) - callsBefore;
			evacuated.forEach(fleet::endEvacuation);
			fault.strike(fleet);
			fleet.run(DELAY);
			long overNanos = fleet.now();
			fleet.run(Duration.ofSeconds(4));
			for (String failureDomain : evacuated) {
				assertThat(arrivals(fleet, Set.of(failureDomain), overNanos), Matchers.not(Matchers.empty()));
			}
			if (fault == Fault.NONE) {
				assertThat(calls, Matchers.lessThanOrEqualTo(3 * 15 * 5 / 4 + 3 * evacuated.size()));
				assertThat(traffic.innocent().toString(), traffic.innocent().count("done"),
						Matchers.greaterThan(traffic.innocent().total() * 98 / 100));
			}
		}
	}

	// All leaders are of an older version. Guards against followers of the newer version
	// that miss the kind, which their leaders do not send.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void entriesAmongOlderVersionsAvoidTheDomain(long seed) {
		try (FleetHarness fleet = new FleetHarness(ENTRIES, RUNNERS, seed,
				(entry) -> (entry < NEW_ENTRIES) ? Optional.of(DELAY) : Optional.empty())) {
			fleet.entries.values().stream().limit(NEW_ENTRIES).forEach((entry) -> new FleetTraffic(fleet, entry, 20));
			fleet.run(Duration.ofSeconds(8));
			int callsBefore = fleet.storeCalls.get(ObjectKind.RUNNERS);
			fleet.evacuate("hall-b");
			long inForceNanos = fleet.now() + DELAY.toNanos();
			fleet.run(Duration.ofSeconds(15));
			assertThat(arrivals(fleet, Set.of("hall-b"), inForceNanos), Matchers.hasSize(0));
			assertThat(fleet.storeCalls.get(ObjectKind.RUNNERS) - callsBefore,
					Matchers.lessThanOrEqualTo(3 * 15 * 5 / 4));
			fleet.endEvacuation("hall-b");
			fleet.run(DELAY);
			long overNanos = fleet.now();
			fleet.run(Duration.ofSeconds(4));
			assertThat(arrivals(fleet, Set.of("hall-b"), overNanos), Matchers.not(Matchers.empty()));
		}
	}

	private static List<FleetRunner.Arrival> arrivals(FleetHarness fleet, Set<String> failureDomains, long fromNanos) {
		return fleet.runners.values()
			.stream()
			.filter((runner) -> failureDomains.contains(runner.failureDomain()))
			.flatMap((runner) -> runner.arrivals().stream())
			.filter((arrival) -> arrival.atNanos() > fromNanos)
			.toList();
	}

	/** What happens at the same time as the evacuation. */
	enum Fault {

		/** Nothing. */
		NONE,
		/** A third of the entries, leaders among them, start again. */
		RESTARTS,
		/** Links between entries drop all frames for some seconds. */
		CUT_LINKS,
		/** The store does not answer half of the entries for ten seconds. */
		STORE_SILENT;

		void strike(FleetHarness fleet) {
			List<FleetEntry> all = List.copyOf(fleet.entries.values());
			switch (this) {
				case NONE -> {
				}
				case RESTARTS -> IntStream.range(0, ENTRIES)
					.filter((i) -> i % 3 == 0)
					.forEach((i) -> fleet.restart(all.get(i), fleet.between(20, 3000) / FleetHarness.MILLI));
				case CUT_LINKS -> IntStream.range(0, 3 * ENTRIES)
					.forEach((i) -> fleet.cut(fleet.randomEntry(), fleet.randomEntry(),
							fleet.between(500, 4000) / FleetHarness.MILLI));
				case STORE_SILENT -> {
					List<FleetStore> stores = IntStream.range(0, ENTRIES)
						.filter((i) -> i % 2 == 0)
						.mapToObj((i) -> all.get(i).store().orElseThrow())
						.toList();
					stores.forEach((store) -> store.setSilent(true));
					fleet.after(10 * FleetHarness.SECOND, () -> stores.forEach((store) -> store.setSilent(false)));
				}
			}
		}

	}

}
