package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;

class NearRunnerTests {

	private final Desk desk = new Desk().with(Desk.engine("near"), Desk.engineIn("hall-b", "far"));

	// Both engines can answer in time. The few milliseconds that the farther one is
	// better by are not noticed by the caller, the bytes between places are paid for.
	@Test
	void aLittleMoreWorkNearByIsBetterThanALongWay() {
		this.desk.others("near", new PeerLoad(3, 0, 0));
		this.desk.arrive(Desk.STREAM, 200, 6000);
		assertThat(this.desk.done(), Matchers.contains("Send:near"));
	}

	// The near engine has half a second of prompts to read. The caller would notice.
	@Test
	void aBusyNearEngineIsPassedBy() {
		this.desk.others("near", new PeerLoad(8, 5, 8000));
		this.desk.arrive(Desk.STREAM, 200, 6000);
		assertThat(this.desk.done(), Matchers.contains("Send:far"));
	}

	// All callers come to the entries of one place. Its engines do not fill up while
	// those of the other place stand idle.
	@Test
	void loadOfOnePlaceIsCarriedByBoth() {
		List<String> sent = new ArrayList<>();
		List<Job> waiting = new ArrayList<>();
		for (int i = 0; i < 24; i++) {
			waiting.add(this.desk.arrive(Desk.STREAM, 1000, 6000));
			this.desk.after(60);
			sent.addAll(this.desk.done());
			List<Job> begun = waiting.stream().filter(this::hasBegun).toList();
			begun.forEach(this.desk::firstEvent);
			waiting.removeAll(begun);
		}
		assertThat(Collections.frequency(sent, "Send:far"), Matchers.greaterThanOrEqualTo(7));
	}

	private boolean hasBegun(Job job) {
		return this.desk.now - job.sentNanos() >= job.predictedMillis() * Desk.MILLI;
	}

}
