package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fleets with runners that state in their answers that they are leaving, while the store
 * calls them ready.
 */
class LeavingRunnerFleetTests {

	private static final long DRAIN_NANOS = 2 * FleetHarness.SECOND;

	static Stream<Arguments> fleets() {
		return Stream.of(Arguments.of(6, 16, 0L), Arguments.of(6, 16, 700L), Arguments.of(14, 30, 700L))
			.flatMap((fleet) -> IntStream.rangeClosed(1, FleetHarness.SEEDS)
				.mapToObj((seed) -> Arguments.of(fleet.get()[0], fleet.get()[1], fleet.get()[2], seed)));
	}

	// Guards against an entry that goes on sending requests to a runner that has told it
	// that it is leaving.
	@ParameterizedTest
	@MethodSource("fleets")
	void entryStopsSendingOnceToldThatARunnerIsLeaving(int entries, int runners, long faultIntervalMillis, long seed) {
		try (FleetHarness fleet = new FleetHarness(entries, runners, seed)) {
			FleetTraffic traffic = new FleetTraffic(fleet, runners * 6);
			fleet.run(Duration.ofSeconds(6));
			if (faultIntervalMillis > 0) {
				traffic.startFaults(faultIntervalMillis);
			}
			List<FleetRunner> leaving = fleet.runners.values().stream().limit(runners / 3).toList();
			leaving.forEach(FleetRunner::leave);
			fleet.run(Duration.ofSeconds(15));
			List<FleetRunner.Arrival> late = leaving.stream()
				.flatMap((runner) -> runner.arrivals().stream())
				.filter((arrival) -> arrival.sinceToldLeavingNanos() > DRAIN_NANOS && arrival.entryInTouch())
				.toList();
			assertThat(late, Matchers.empty());
			if (faultIntervalMillis == 0) {
				assertThat(traffic.innocent().toString(), traffic.innocent().count("done"),
						Matchers.greaterThan(traffic.innocent().total() * 9 / 10));
			}
		}
	}

}
