package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fleets with runners that turn requests away and ask each entry to send nothing for
 * three seconds.
 */
class RestingRunnerFleetTests {

	private static final long REST_MILLIS = 3000;

	// Guards against an entry that keeps trying a runner that has asked it for rest, and
	// callers that are refused because of it while other runners have room.
	@ParameterizedTest
	@MethodSource("org.wisteriapost.entry.direct.LeavingRunnerFleetTests#fleets")
	void entrySendsNothingWhileARunnerRests(int entries, int runners, long faultIntervalMillis, long seed) {
		try (FleetHarness fleet = new FleetHarness(entries, runners, seed)) {
			FleetTraffic traffic = new FleetTraffic(fleet, runners * 6);
			fleet.run(Duration.ofSeconds(6));
			if (faultIntervalMillis > 0) {
				traffic.startFaults(faultIntervalMillis);
			}
			List<FleetRunner> resting = fleet.runners.values().stream().limit(runners / 3).toList();
			resting.forEach((runner) -> runner.turnAway(REST_MILLIS));
			fleet.run(Duration.ofSeconds(5));
			resting.forEach((runner) -> assertThat(runner.arrivalsDuringRest(), Matchers.equalTo(0)));
			long before = resting.stream().mapToLong((runner) -> runner.arrivals().size()).sum();
			fleet.run(Duration.ofSeconds(8));
			assertThat(resting.stream().mapToLong((runner) -> runner.arrivals().size()).sum(),
					Matchers.greaterThan(before));
			if (faultIntervalMillis == 0) {
				assertThat(traffic.innocent().toString(), traffic.innocent().count("done"),
						Matchers.greaterThan(traffic.innocent().total() * 9 / 10));
			}
		}
	}

}
