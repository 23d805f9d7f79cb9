package org.wisteriapost.policy.request;

import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class RunnerRestTests {

	private static final String RESTING = "runner-1";

	private static boolean dispatchesTo(List<RequestEffect> effects, String runner) {
		return effects.stream()
			.anyMatch(
					(effect) -> effect instanceof RequestEffect.Dispatch dispatch && dispatch.runner().equals(runner));
	}

	// Guards against calls to a runner that has turned this entry away and wants none
	// for a time.
	@ParameterizedTest
	@CsvSource({ "800", "3000", "20000" })
	void runnerThatAsksForRestGetsNoCallsUntilItsEnd(long restMillis) {
		RequestStateMachineFixture fixture = RequestStateMachineFixture.of(RequestPolicySettings.defaults(), 8, RESTING,
				"runner-2");
		long id = 1;
		while (!dispatchesTo(fixture.arrive(id), RESTING)) {
			id++;
		}
		fixture.apply(new RequestEvent.DispatchFailed(id, RESTING, true, GateCodes.RUNNER_REFUSED.name(), restMillis));
		long restEndNanos = fixture.nowNanos + restMillis * 1_000_000;
		boolean early = false;
		while (fixture.nowNanos < restEndNanos - 10_000_000) {
			id++;
			early |= dispatchesTo(fixture.arrive(id), RESTING);
			fixture.end(id, 0);
			early |= dispatchesTo(fixture.tickAfter(10), RESTING);
		}
		assertThat(early, Matchers.is(false));
	}

}
