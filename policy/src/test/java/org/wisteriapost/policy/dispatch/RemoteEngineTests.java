package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;

class RemoteEngineTests {

	private final DispatcherHarness harness = new DispatcherHarness().register(DispatcherHarness.engine("local"),
			DispatcherHarness.engineIn("hall-b", "remote"));

	// A gain of a few milliseconds does not justify traffic between failure domains.
	@Test
	void slightlyBusierLocalEngineIsPreferred() {
		this.harness.reportPeerLoad("local", new InFlightLoad(3, 0, 0));
		this.harness.arrive(DispatcherHarness.STREAM, 200, 6000);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:local"));
	}

	// The local engine has half a second of prompts to process, which the caller would
	// notice.
	@Test
	void remoteEngineIsPreferredToBusyLocalEngine() {
		this.harness.reportPeerLoad("local", new InFlightLoad(8, 5, 8000));
		this.harness.arrive(DispatcherHarness.STREAM, 200, 6000);
		assertThat(this.harness.effectNames(), Matchers.contains("Send:remote"));
	}

	// Failure: the engines of a failure domain that gets all requests fill up while
	// those of the other one are idle.
	@Test
	void loadOfOneFailureDomainUsesBoth() {
		List<String> sent = new ArrayList<>();
		List<Job> waiting = new ArrayList<>();
		for (int i = 0; i < 24; i++) {
			waiting.add(this.harness.arrive(DispatcherHarness.STREAM, 1000, 6000));
			this.harness.advance(60);
			sent.addAll(this.harness.effectNames());
			List<Job> begun = waiting.stream().filter(this::hasBegun).toList();
			begun.forEach(this.harness::firstEvent);
			waiting.removeAll(begun);
		}
		assertThat(Collections.frequency(sent, "Send:remote"), Matchers.greaterThanOrEqualTo(7));
	}

	private boolean hasBegun(Job job) {
		return this.harness.nowNanos - job.sentNanos() >= job.predictedMillis() * DispatcherHarness.NANOS_PER_MILLI;
	}

}
