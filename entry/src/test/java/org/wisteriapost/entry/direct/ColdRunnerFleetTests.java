package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.coldstart.ColdStart;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fleets whose runners all crash and are cold when they are back, while no entry hears of
 * another.
 */
class ColdRunnerFleetTests {

	private static final ColdStart COLD_START = new ColdStart(Duration.ofSeconds(15), 26);

	private static final int MAX_REQUESTS = (int) FleetEntry.COLD_START_BOUND.maxRequests(COLD_START);

	private static final int REQUESTS_PER_SECOND = 1000;

	// Guards against entries that do not pass on what they know of runners and of each
	// other, and against entries that use permits right after they have started.
	@ParameterizedTest
	@CsvSource({ "13, false", "13, true", "40, false", "40, true" })
	void coldRunnersGetMostOfTheirBoundAndNoMore(int entries, boolean restarts) {
		try (FleetHarness fleet = new FleetHarness(entries, 3, entries, Optional.of(COLD_START))) {
			fleet.runnerSlots = 400;
			fleet.run(Duration.ofSeconds(7));
			List<FleetEntry> all = List.copyOf(fleet.entries.values());
			all.forEach((one) -> all.stream()
				.filter((other) -> other != one)
				.forEach((other) -> fleet.cut(one, other, Duration.ofMinutes(1).toMillis())));
			// Until followers have found that their leader is lost.
			fleet.run(Duration.ofSeconds(8));
			fleet.runners.values().forEach((runner) -> runner.crash(1000));
			fleet.run(Duration.ofSeconds(2));
			FleetTraffic traffic = new FleetTraffic(fleet, REQUESTS_PER_SECOND);
			for (int i = 0; i < 5; i++) {
				if (restarts) {
					fleet.restart(all.get(i), 300);
				}
				fleet.run(Duration.ofSeconds(2));
			}
			for (FleetRunner runner : fleet.runners.values()) {
				List<Long> times = arrivals(runner);
				times.forEach((from) -> assertThat("requests in one second",
						times.stream().filter((at) -> at >= from && at <= from + FleetHarness.SECOND).count(),
						Matchers.lessThanOrEqualTo((long) MAX_REQUESTS)));
				assertThat("requests in 10 s", times.size(), Matchers.greaterThan(MAX_REQUESTS * 10 / 2));
			}
			assertThat(traffic.innocent().toString(), traffic.innocent().count("refused runner-limit"),
					Matchers.greaterThan(0));
		}
	}

	private static List<Long> arrivals(FleetRunner runner) {
		Map<String, List<Long>> byIncarnation = runner.arrivals()
			.stream()
			.collect(Collectors.groupingBy(FleetRunner.Arrival::runnerId,
					Collectors.mapping(FleetRunner.Arrival::atNanos, Collectors.toList())));
		return byIncarnation.getOrDefault(runner.id(), List.of());
	}

}
