package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fleets whose store is restored from a copy again and again, beside entries that
 * restart, freeze or are cut off from each other and runners that crash.
 */
class RestoredStoreFaultTests {

	private static final int RUNNERS = 14;

	private static final int RESTORES = 5;

	private static final Duration APPLY_DELAY = Duration.ofSeconds(3);

	private static final long DRAIN_NANOS = 3 * FleetHarness.SECOND;

	static Stream<Arguments> fleets() {
		return Stream.of(6, 14)
			.flatMap((entries) -> Stream.of(0, 1200)
				.flatMap((interval) -> IntStream.rangeClosed(1, Math.ceilDiv(FleetHarness.SEEDS, 2))
					.mapToObj((seed) -> Arguments.of(entries, interval, seed))));
	}

	// Guards against entries that miss a table or a draining runner after any of several
	// restores, whatever else happens, and against callers that are not served.
	@ParameterizedTest
	@MethodSource("fleets")
	void entriesFollowTheStoreAfterEachRestore(int entries, int faultIntervalMillis, long seed) {
		try (FleetHarness fleet = new FleetHarness(entries, RUNNERS, seed,
				(entry) -> Optional.of(Duration.ofSeconds(5)))) {
			FleetTraffic traffic = new FleetTraffic(fleet, 40);
			fleet.run(Duration.ofSeconds(6));
			if (faultIntervalMillis > 0) {
				traffic.startFaults(faultIntervalMillis);
			}
			for (int i = 0; i < RESTORES; i++) {
				restore(fleet);
				FleetRunner draining = List.copyOf(fleet.runners.values()).get(i);
				draining.drain();
				String id = draining.id();
				fleet.declareRoutes();
				fleet.run(APPLY_DELAY);
				assertThat(tableVersions(fleet), Matchers.everyItem(Matchers.is(fleet.tableVersion())));
				long boundNanos = fleet.now() + DRAIN_NANOS - APPLY_DELAY.toNanos();
				fleet.run(Duration.ofSeconds(2));
				assertThat(draining.arrivals()
					.stream()
					.filter((arrival) -> arrival.runnerId().equals(id) && arrival.entryInTouch()
							&& arrival.atNanos() > boundNanos)
					.toList(), Matchers.empty());
			}
			assertThat(traffic.innocent().toString(), traffic.innocent().count("done"),
					Matchers.greaterThan(traffic.innocent().total() * ((faultIntervalMillis > 0) ? 1 : 9) / 10));
		}
	}

	private static void restore(FleetHarness fleet) {
		FleetObjects.Copy copy = fleet.objects().copy();
		fleet.objects().skipRevisions(fleet.random.nextInt(40));
		fleet.runners.values().stream().filter(FleetRunner::up).forEach(fleet::writeRunner);
		fleet.run(Duration.ofMillis(fleet.random.nextInt(500, 4000)));
		long awayMillis = fleet.random.nextInt(1, 3000);
		fleet.restoreStore(copy, awayMillis);
		fleet.run(Duration.ofMillis(awayMillis).plusMillis(1));
		fleet.objects().skipRevisions(fleet.random.nextInt(100));
		fleet.entries.values()
			.stream()
			.filter(FleetEntry::alive)
			.forEach((entry) -> fleet.after(fleet.between(100, 1000), () -> fleet.writeEntry(entry)));
		fleet.runners.values().forEach((runner) -> fleet.after(fleet.between(0, 1500), () -> {
			if (runner.up()) {
				fleet.writeRunner(runner);
			}
		}));
		fleet.after(fleet.between(0, 1500), fleet::writeRoutes);
		fleet.run(Duration.ofSeconds(3));
	}

	private static List<Long> tableVersions(FleetHarness fleet) {
		return fleet.entries.values().stream().filter(FleetEntry::inTouch).map(FleetEntry::tableVersion).toList();
	}

}
