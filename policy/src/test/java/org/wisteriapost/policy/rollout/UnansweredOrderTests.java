package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.stream.LongStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;

class UnansweredOrderTests {

	private static final int SEEDS = Integer.getInteger("wisteriapost.seeds", 40);

	// Guards against an engine that takes chunks of two versions because an order
	// without an answer was accepted while the next version was staged.
	@ParameterizedTest
	@CsvSource({ "0.3,0,0,false", "0.3,0,0,true", "0.3,0.1,0,false", "0.3,0.1,0,true", "0.6,0.1,0.1,false",
			"0.6,0.1,0.1,true" })
	void engineTakesOnlyWholeCopies(double lostOrder, double crash, double corruption, boolean namesIncarnation) {
		LongStream.rangeClosed(1, SEEDS).forEach((seed) -> {
			SimulatedEngineVm vm = SimulatedEngineVm.run(seed,
					new SimulatedEngineVm.Faults(lostOrder, crash, corruption, 0, namesIncarnation),
					Duration.ofSeconds(60));
			assertThat("seed " + seed, vm.badCopies(), Matchers.empty());
			assertThat("seed " + seed, vm.holdsTarget(), Matchers.is(true));
		});
	}

	// Guards against an unanswered order that a restarted engine accepts late, since its
	// count of orders has reached the one of the engine's earlier incarnation.
	@ParameterizedTest
	@CsvSource({ "235,0.3,0.1,0", "1106,0.6,0.1,0.1", "44,0.3,0.1,0", "78,0.6,0.1,0.1" })
	void orderOfAnEarlierIncarnationIsNotAccepted(long seed, double lostOrder, double crash, double corruption) {
		SimulatedEngineVm vm = SimulatedEngineVm.run(seed,
				new SimulatedEngineVm.Faults(lostOrder, crash, corruption, 0, false), Duration.ofSeconds(60));
		assertThat(vm.badCopies(), Matchers.empty());
	}

	// Guards against the use of chunks that were corrupted long before the engine took
	// them: a pause of the agent falls between the verification and the order.
	@ParameterizedTest
	@ValueSource(doubles = { 0, 0.3 })
	void corruptionDuringAPauseIsFound(double lostOrder) {
		LongStream.rangeClosed(1, SEEDS).forEach((seed) -> {
			SimulatedEngineVm vm = SimulatedEngineVm.run(seed,
					new SimulatedEngineVm.Faults(lostOrder, 0.05, 1, 0.3, false), Duration.ofSeconds(60));
			assertThat("seed " + seed, vm.usedBadCopies(), Matchers.empty());
		});
	}

	// The same, with seeds that once led to the use of such chunks.
	@ParameterizedTest
	@ValueSource(longs = { 21, 50, 101, 257, 445, 531, 667 })
	void corruptionDuringAPauseIsFoundWithEarlierSeeds(long seed) {
		SimulatedEngineVm vm = SimulatedEngineVm.run(seed, new SimulatedEngineVm.Faults(0.3, 0.05, 1, 0.3, false),
				Duration.ofSeconds(60));
		assertThat(vm.usedBadCopies(), Matchers.empty());
	}

}
