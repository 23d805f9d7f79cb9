package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.Arrays;
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
 * Fleets whose store is restored from a copy some seconds old.
 */
class RestoredStoreFleetTests {

	private static final Duration DELAY = Duration.ofSeconds(5);

	private static final long DRAIN_NANOS = 2 * FleetHarness.SECOND;

	private static final Duration APPLY_DELAY = Duration.ofSeconds(2);

	private static final int RUNNERS = 12;

	private static final int REQUESTS_PER_SECOND = 60;

	static Stream<Arguments> fleets() {
		return Stream.of(6, 14)
			.flatMap((entries) -> Arrays.stream(Return.values())
				.flatMap((back) -> IntStream.rangeClosed(1, Math.ceilDiv(FleetHarness.SEEDS, 2))
					.mapToObj((seed) -> Arguments.of(entries, back, seed))));
	}

	// Guards against requests to a runner whose registration as draining is not read,
	// since the store has given out its revision before.
	@ParameterizedTest
	@MethodSource("fleets")
	void drainingRunnersGetNoRequestsOnceTheStoreIsBack(int entries, Return back, long seed) {
		try (FleetHarness fleet = restoredFleet(entries, back, seed)) {
			List<FleetRunner> draining = fleet.runners.values().stream().limit(RUNNERS / 3).toList();
			draining.forEach(FleetRunner::drain);
			long boundNanos = fleet.now() + DRAIN_NANOS;
			fleet.run(Duration.ofSeconds(6));
			assertThat(lateArrivals(draining, boundNanos), Matchers.empty());
		}
	}

	// Guards against a watch from a revision that was given out again: it never reports
	// what the store has accepted before it reached that revision.
	@ParameterizedTest
	@MethodSource("fleets")
	void drainingRunnersGetNoRequestsIfTheyRegisterBeforeReadersReturn(int entries, Return back, long seed) {
		FleetHarness started = startedFleet(entries, seed);
		List<FleetRunner> draining = started.runners.values().stream().limit(RUNNERS / 3).toList();
		try (FleetHarness fleet = restore(started, back, () -> {
			rewriteAll(started);
			draining.forEach(FleetRunner::drain);
		})) {
			long boundNanos = fleet.now();
			fleet.run(Duration.ofSeconds(6));
			assertThat(lateArrivals(draining, boundNanos), Matchers.empty());
		}
	}

	// Guards against an entry that starts before the operators have written again and
	// serves by the table of the copy, where a key is valid that was revoked since.
	@ParameterizedTest
	@MethodSource("fleets")
	void entryThatStartsBetweenRestoreAndRewriteDoesNotServeByTheCopy(int entries, Return back, long seed) {
		FleetHarness started = startedFleet(entries, seed);
		FleetEntry restarted = List.copyOf(started.entries.values()).getLast();
		try (FleetHarness fleet = restore(started, back, () -> started.restart(restarted, 200))) {
			assertThat(restarted.servesOlderTableThan(fleet.tableVersion()), Matchers.is(false));
			fleet.run(Duration.ofSeconds(2));
			assertThat(restarted.servesOlderTableThan(fleet.tableVersion()), Matchers.is(false));
			rewriteAll(fleet);
			fleet.run(APPLY_DELAY);
			assertThat(restarted.ready(), Matchers.is(true));
			assertThat(restarted.tableVersion(), Matchers.is(fleet.tableVersion()));
		}
	}

	private static List<FleetRunner.Arrival> lateArrivals(List<FleetRunner> draining, long boundNanos) {
		return draining.stream()
			.flatMap((runner) -> runner.arrivals().stream())
			.filter((arrival) -> arrival.entryInTouch() && arrival.atNanos() > boundNanos)
			.toList();
	}

	// Guards against tables that are not read, since the store has given out their
	// revision before.
	@ParameterizedTest
	@MethodSource("fleets")
	void newTableIsInForceOnceTheStoreIsBack(int entries, Return back, long seed) {
		try (FleetHarness fleet = restoredFleet(entries, back, seed)) {
			for (int i = 0; i < 3; i++) {
				fleet.declareRoutes();
				fleet.run(APPLY_DELAY);
				assertThat(tableVersions(fleet), Matchers.everyItem(Matchers.is(fleet.tableVersion())));
			}
		}
	}

	// The copy calls a runner ready that has registered as draining since, or has a
	// registration that was removed since. Guards against requests to it.
	@ParameterizedTest
	@MethodSource("fleets")
	void copyDoesNotReviveRunnersThatLeave(int entries, Return back, long seed) {
		FleetHarness started = startedFleet(entries, seed);
		List<FleetRunner> leaving = started.runners.values().stream().limit(RUNNERS / 3).toList();
		List<FleetRunner> removed = leaving.subList(0, leaving.size() / 2);
		FleetObjects.Copy copy = started.objects().copy();
		leaving.forEach((runner) -> {
			if (removed.contains(runner)) {
				started.removeRunner(runner.id());
			}
			else {
				runner.drain();
			}
		});
		long boundNanos = started.now() + DRAIN_NANOS;
		try (FleetHarness fleet = restore(started, copy, back, () -> fleetWritesAllBut(started, leaving))) {
			leaving.forEach((runner) -> fleet.after(fleet.between(1000, 1500), () -> {
				if (removed.contains(runner)) {
					fleet.removeRunner(runner.id());
				}
				else {
					runner.drain();
				}
			}));
			fleet.run(Duration.ofSeconds(6));
			assertThat(lateArrivals(leaving, boundNanos), Matchers.empty());
		}
	}

	// Registrations that the copy lacks are written again within two seconds. Guards
	// against taking their runners for gone meanwhile, when callers are refused for lack
	// of one.
	@ParameterizedTest
	@MethodSource("fleets")
	void runnersThatTheCopyLacksAreUsed(int entries, Return back, long seed) {
		FleetHarness started = startedFleet(entries, seed);
		List<FleetRunner> all = List.copyOf(started.runners.values());
		all.forEach((runner) -> started.removeRunner(runner.id()));
		FleetObjects.Copy copy = started.objects().copy();
		all.forEach(started::writeRunner);
		started.run(Duration.ofSeconds(1));
		long returnNanos = started.now() + 4 * FleetHarness.SECOND + back.awayMillis * FleetHarness.MILLI;
		try (FleetHarness fleet = restore(started, copy, back, () -> all
			.forEach((runner) -> started.after(started.between(1500, 1900), () -> started.writeRunner(runner))))) {
			assertThat(fleet.runners.values()
				.stream()
				.flatMap((runner) -> runner.arrivals().stream())
				.filter((arrival) -> arrival.atNanos() > returnNanos + 300 * FleetHarness.MILLI
						&& arrival.atNanos() < returnNanos + 1500 * FleetHarness.MILLI)
				.toList(), Matchers.not(Matchers.empty()));
		}
	}

	private static void fleetWritesAllBut(FleetHarness fleet, List<FleetRunner> leaving) {
		fleet.runners.values().stream().filter((runner) -> !leaving.contains(runner)).forEach(fleet::writeRunner);
		fleet.writeRoutes();
	}

	// The same for a table.
	@ParameterizedTest
	@MethodSource("fleets")
	void tableDeclaredBeforeReadersReturnIsInForce(int entries, Return back, long seed) {
		FleetHarness started = startedFleet(entries, seed);
		try (FleetHarness fleet = restore(started, back, () -> {
			rewriteAll(started);
			started.declareRoutes();
		})) {
			assertThat(tableVersions(fleet), Matchers.everyItem(Matchers.is(fleet.tableVersion())));
		}
	}

	// Two of three entries are of the version before, leaders among them. Guards against
	// followers that trust a leader which cannot tell that the store was restored.
	@ParameterizedTest
	@MethodSource("fleets")
	void entriesAmongOlderVersionsReadTheRestoredStore(int entries, Return back, long seed) {
		FleetHarness started = startedFleet(entries, seed, (2 * entries) / 3);
		List<FleetRunner> draining = started.runners.values().stream().limit(RUNNERS / 3).toList();
		try (FleetHarness fleet = restore(started, back, () -> {
			rewriteAll(started);
			draining.forEach(FleetRunner::drain);
			started.declareRoutes();
		})) {
			assertThat(tableVersions(fleet), Matchers.everyItem(Matchers.is(fleet.tableVersion())));
			long boundNanos = fleet.now();
			fleet.run(Duration.ofSeconds(6));
			assertThat(lateArrivals(draining, boundNanos), Matchers.empty());
		}
	}

	private static List<Long> tableVersions(FleetHarness fleet) {
		return fleet.entries.values()
			.stream()
			.filter((entry) -> !fleet.legacyEntries.contains(entry.name()))
			.map(FleetEntry::tableVersion)
			.toList();
	}

	private static FleetHarness restoredFleet(int entries, Return back, long seed) {
		FleetHarness started = startedFleet(entries, seed);
		return restore(started, back, () -> {
			started.runners.values()
				.forEach((runner) -> started.after(started.between(0, 1500), () -> started.writeRunner(runner)));
			started.after(started.between(0, 1500), started::writeRoutes);
		});
	}

	private static void rewriteAll(FleetHarness fleet) {
		fleet.runners.values().forEach(fleet::writeRunner);
		fleet.writeRoutes();
	}

	private static FleetHarness startedFleet(int entries, long seed) {
		return startedFleet(entries, seed, 0);
	}

	private static FleetHarness startedFleet(int entries, long seed, int olderVersions) {
		FleetHarness fleet = new FleetHarness(entries, RUNNERS, seed, (entry) -> Optional.of(DELAY));
		fleet.entries.keySet().stream().limit(olderVersions).forEach(fleet.legacyEntries::add);
		new FleetTraffic(fleet, REQUESTS_PER_SECOND);
		fleet.run(Duration.ofSeconds(6));
		return fleet;
	}

	// Returns the fleet three seconds after its store has been restored.
	private static FleetHarness restore(FleetHarness fleet, Return back, Runnable firstWrites) {
		FleetObjects.Copy copy = fleet.objects().copy();
		fleet.runners.values().forEach(fleet::writeRunner);
		return restore(fleet, copy, back, firstWrites);
	}

	private static FleetHarness restore(FleetHarness fleet, FleetObjects.Copy copy, Return back, Runnable firstWrites) {
		fleet.objects().skipRevisions(20);
		fleet.declareRoutes();
		fleet.run(Duration.ofSeconds(4));
		fleet.restoreStore(copy, back.awayMillis);
		fleet.run(Duration.ofMillis(back.awayMillis).plusMillis(1));
		firstWrites.run();
		fleet.objects().skipRevisions(back.skippedRevisions);
		fleet.run(Duration.ofSeconds(3));
		return fleet;
	}

	/** How the store comes back. */
	enum Return {

		/** Its revisions stay below those that entries have read. */
		BELOW(2900, 0),
		/** The same after so short a time that its loss may go unnoticed. */
		BELOW_AT_ONCE(1, 0),
		/** Its revisions have passed those that entries have read before these return. */
		BEYOND(2900, 60),
		/** The same after so short a time that its loss may go unnoticed. */
		BEYOND_AT_ONCE(1, 60);

		private final long awayMillis;

		private final long skippedRevisions;

		Return(long awayMillis, long skippedRevisions) {
			this.awayMillis = awayMillis;
			this.skippedRevisions = skippedRevisions;
		}

	}

}
