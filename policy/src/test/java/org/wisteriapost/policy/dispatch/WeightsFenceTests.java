package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.fleet.NamedWeights;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.RunnerStart;

import static org.hamcrest.MatcherAssert.assertThat;

class WeightsFenceTests {

	private static final long SECOND = 1000 * Desk.MILLI;

	private final WeightsFence fence = new WeightsFence(Duration.ofSeconds(8));

	// A version is named, then a newer one before the first has to be in force. Each is
	// judged from its own naming: the first binds after its own time, though the second
	// is not due yet.
	@Test
	void eachVersionBindsFromItsOwnNaming() {
		this.fence.named(new NamedWeights("lm", 1), false, 0);
		this.fence.named(new NamedWeights("lm", 2), false, 20 * SECOND);
		assertThat(this.fence.required("lm", 22 * SECOND), Matchers.equalTo(OptionalInt.of(1)));
		assertThat(this.fence.required("lm", 27 * SECOND), Matchers.equalTo(OptionalInt.of(2)));
	}

	// A third version is named three seconds after the second, before the second has to
	// be in force. The second still binds after its own time; were it forgotten,
	// engines that lag would start requests on the first beyond the promise.
	@Test
	void aNewerNameDoesNotPutOffTheOneBefore() {
		this.fence.named(new NamedWeights("lm", 2), false, 20 * SECOND);
		this.fence.named(new NamedWeights("lm", 3), false, 23 * SECOND);
		assertThat(this.fence.required("lm", 22 * SECOND), Matchers.equalTo(OptionalInt.empty()));
		assertThat(this.fence.required("lm", 27 * SECOND), Matchers.equalTo(OptionalInt.of(2)));
		assertThat(this.fence.required("lm", 30 * SECOND), Matchers.equalTo(OptionalInt.of(3)));
	}

	@Test
	void whatIsFoundNamedAtTheStartBindsSoon() {
		this.fence.named(new NamedWeights("lm", 2), true, 20 * SECOND);
		assertThat(this.fence.required("lm", 23 * SECOND), Matchers.equalTo(OptionalInt.of(2)));
	}

	@Test
	void anOlderNameChangesNothing() {
		this.fence.named(new NamedWeights("lm", 3), false, 0);
		this.fence.named(new NamedWeights("lm", 2), false, SECOND);
		assertThat(this.fence.required("lm", 20 * SECOND), Matchers.equalTo(OptionalInt.of(3)));
	}

	// One engine lags behind the named weights. Once they have to be in force, requests
	// go only to engines that hold them.
	@Test
	void anEngineThatLagsGetsNothingOnceTheVersionBinds() {
		Desk desk = new Desk().with(Desk.engine("old"), new RunnerInfo("new", "lm-notice", "10.0.0.9:80", "hall-a", 16,
				false, 0, Map.of("lm", 2), 0, RunnerStart.UNKNOWN));
		desk.dispatcher.named(new NamedWeights("lm", 1), true, desk.now);
		desk.after(10_000);
		desk.dispatcher.named(new NamedWeights("lm", 2), false, desk.now);
		desk.after(7000);
		for (int i = 0; i < 10; i++) {
			desk.arrive(Desk.STREAM);
		}
		assertThat(desk.done(), Matchers.everyItem(Matchers.equalTo("Send:new")));
	}

}
