package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;

import static org.hamcrest.MatcherAssert.assertThat;

class CapacityShareTests {

	private static final int ENTRIES = 6;

	private final RunnerInfo engine = DispatcherHarness.engine("e1");

	private void reportSwitching(DispatcherHarness harness, boolean now) {
		harness.dispatcher.updateEngineStatus(this.engine.address(),
				new EngineStatus(OptionalInt.of(1), now, OptionalLong.empty(), RunnerIncarnation.UNKNOWN),
				harness.nowNanos);
	}

	private static long countSent(DispatcherHarness harness) {
		return harness.effectNames().stream().filter((effect) -> effect.startsWith("Send")).count();
	}

	// Failure: six entries with ten waiting requests each send all of them to an engine
	// that has just switched weights, three times what it can start in time.
	@Test
	void entriesTogetherDoNotOverloadReturningEngine() {
		List<DispatcherHarness> entries = new ArrayList<>();
		for (int i = 0; i < ENTRIES; i++) {
			DispatcherHarness harness = new DispatcherHarness().register(this.engine);
			harness.dispatcher.updateEntryCount(EntryCount.unpartitioned(ENTRIES));
			reportSwitching(harness, true);
			for (int request = 0; request < 10; request++) {
				harness.arrive(DispatcherHarness.STREAM, 300, 6000);
			}
			entries.add(harness);
		}
		long sent = 0;
		for (DispatcherHarness harness : entries) {
			harness.advance(20);
			reportSwitching(harness, false);
			harness.advance(20);
			sent += countSent(harness);
		}
		assertThat(sent, Matchers.allOf(Matchers.greaterThanOrEqualTo(12L), Matchers.lessThanOrEqualTo(24L)));
	}

	@Test
	void singleEntryUsesAllSlots() {
		DispatcherHarness harness = new DispatcherHarness().register(this.engine);
		for (int request = 0; request < 10; request++) {
			harness.arrive(DispatcherHarness.STREAM, 100, 6000);
		}
		assertThat(countSent(harness), Matchers.equalTo(10L));
	}

}
