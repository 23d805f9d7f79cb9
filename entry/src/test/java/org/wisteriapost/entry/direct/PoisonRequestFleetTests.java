package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fleets that receive requests which crash each runner that runs them.
 */
class PoisonRequestFleetTests {

	private static final int MAX_CRASHES = 3;

	private static final int MAX_LATE_ARRIVALS = 3;

	private static final Duration LAST_GOOD_RUN = Duration.ofSeconds(6);

	private static final Duration DURATION = Duration.ofSeconds(30);

	static Stream<Arguments> fleets() {
		return Stream.of(Arguments.of(6, 16), Arguments.of(14, 30), Arguments.of(49, 120))
			.flatMap((size) -> IntStream.rangeClosed(1, FleetHarness.SEEDS)
				.mapToObj((seed) -> Arguments.of(size.get()[0], size.get()[1], seed)));
	}

	// Guards against a request that crashes runners through every entry in turn, each of
	// which knows only its own attempt.
	@ParameterizedTest
	@MethodSource("fleets")
	void repeatedPoisonRequestsStopReachingRunners(int entries, int runners, long seed) {
		try (FleetHarness fleet = new FleetHarness(entries, runners, seed)) {
			FleetTraffic traffic = new FleetTraffic(fleet, entries * 4);
			fleet.run(Duration.ofSeconds(5));
			traffic.startPoison("poison-1", 400);
			traffic.startPoison("poison-2", 400);
			fleet.run(DURATION);
			assertPoisonIsStopped(fleet, "poison-1");
			assertPoisonIsStopped(fleet, "poison-2");
		}
	}

	// The same while entries are killed, frozen and cut from each other, and runners
	// crash for other reasons.
	@ParameterizedTest
	@MethodSource("fleets")
	void poisonRequestsAreStoppedDespiteOtherFaults(int entries, int runners, long seed) {
		try (FleetHarness fleet = new FleetHarness(entries, runners, seed)) {
			FleetTraffic traffic = new FleetTraffic(fleet, entries * 4);
			fleet.run(Duration.ofSeconds(5));
			traffic.startPoison("poison-1", 300);
			traffic.startFaults(500);
			fleet.run(DURATION);
			assertPoisonIsStopped(fleet, "poison-1");
		}
	}

	// Requests with the same body that arrive at all entries at once crash more runners
	// before anything is known of them; none does afterwards.
	@ParameterizedTest
	@MethodSource("fleets")
	void poisonRequestAtAllEntriesAtOnceIsStopped(int entries, int runners, long seed) {
		try (FleetHarness fleet = new FleetHarness(entries, runners, seed)) {
			FleetTraffic traffic = new FleetTraffic(fleet, entries * 4);
			fleet.run(Duration.ofSeconds(5));
			fleet.entries.values().forEach((entry) -> entry.request("poison-1", (answer) -> {
			}));
			fleet.run(Duration.ofSeconds(1));
			traffic.startPoison("poison-1", 400);
			fleet.run(DURATION);
			assertPoisonIsStopped(fleet, "poison-1");
		}
	}

	// Guards against a request that nothing is held against since it ran well a moment
	// ago,
	// on the former version of the runners.
	@ParameterizedTest
	@MethodSource("fleets")
	void requestThatRanWellIsStoppedOnceItCrashesRunners(int entries, int runners, long seed) {
		try (FleetHarness fleet = new FleetHarness(entries, runners, seed)) {
			FleetTraffic traffic = new FleetTraffic(fleet, entries * 4);
			fleet.poisonFromNanos = fleet.now() + LAST_GOOD_RUN.toNanos();
			traffic.startPoison("poison-1", 400);
			fleet.run(LAST_GOOD_RUN.plus(DURATION));
			assertThat(traffic.innocent().toString(), traffic.innocent().count("refused poison-request"),
					Matchers.equalTo(0));
			List<Long> crashes = fleet.crashes("poison-1");
			assertThat(crashes, Matchers.hasSize(Matchers.greaterThanOrEqualTo(MAX_CRASHES)));
			assertPoisonIsStopped(fleet, "poison-1");
		}
	}

	private static void assertPoisonIsStopped(FleetHarness fleet, String body) {
		List<FleetRunner.Arrival> arrivals = fleet.runners.values()
			.stream()
			.flatMap((runner) -> runner.arrivals().stream())
			.filter((arrival) -> arrival.body().equals(body))
			.sorted(Comparator.comparingLong(FleetRunner.Arrival::atNanos))
			.toList();
		assertThat("the poison request was sent", arrivals,
				Matchers.hasSize(Matchers.greaterThanOrEqualTo(MAX_CRASHES)));
		List<Long> crashes = fleet.crashes(body);
		if (crashes.size() < MAX_CRASHES) {
			return;
		}
		long bound = crashes.get(MAX_CRASHES - 1) + FleetHarness.CONTACT_NANOS;
		long late = arrivals.stream().filter((arrival) -> arrival.atNanos() > bound && arrival.entryInTouch()).count();
		assertThat("arrivals after three crashes, of " + arrivals.size(), late,
				Matchers.lessThanOrEqualTo((long) MAX_LATE_ARRIVALS));
	}

}
