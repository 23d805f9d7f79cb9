package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.RunnerStart;

import static org.hamcrest.MatcherAssert.assertThat;

class FreshShareTests {

	private static final int ENTRIES = 6;

	private final RunnerInfo engine = Desk.engine("e1");

	private void switching(Desk desk, boolean now) {
		desk.dispatcher.agentSays(this.engine.address(),
				new EngineWord(OptionalInt.of(1), now, OptionalLong.empty(), RunnerStart.UNKNOWN), desk.now);
	}

	private static long sent(Desk desk) {
		return desk.done().stream().filter((one) -> one.startsWith("Send")).count();
	}

	// An engine has taken new weights and is empty. At each of six entries ten requests
	// wait for it, and none can know yet what the others send. All sixty at once would be
	// three times what it can begin in time; together they send what it has room for.
	@Test
	void allEntriesTogetherSendWhatAReturningEngineCanTake() {
		List<Desk> entries = new ArrayList<>();
		for (int i = 0; i < ENTRIES; i++) {
			Desk desk = new Desk().with(this.engine);
			desk.dispatcher.entries(EntryCount.flat(ENTRIES));
			switching(desk, true);
			for (int request = 0; request < 10; request++) {
				desk.arrive(Desk.STREAM, 300, 6000);
			}
			entries.add(desk);
		}
		long sent = 0;
		for (Desk desk : entries) {
			desk.after(20);
			switching(desk, false);
			desk.after(20);
			sent += sent(desk);
		}
		assertThat(sent, Matchers.allOf(Matchers.greaterThanOrEqualTo(12L), Matchers.lessThanOrEqualTo(24L)));
	}

	// One entry alone has the engine to itself.
	@Test
	void aSingleEntryFillsTheEngineAtOnce() {
		Desk desk = new Desk().with(this.engine);
		for (int request = 0; request < 10; request++) {
			desk.arrive(Desk.STREAM, 100, 6000);
		}
		assertThat(sent(desk), Matchers.equalTo(10L));
	}

}
