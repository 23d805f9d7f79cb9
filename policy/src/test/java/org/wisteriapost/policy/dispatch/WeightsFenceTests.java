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

	private static Desk oldAndNew() {
		Desk desk = new Desk().with(Desk.engine("old"));
		desk.dispatcher.named(new NamedWeights("lm", 1), true, desk.now);
		return desk.after(10_000);
	}

	private static RunnerInfo onNewWeights() {
		return new RunnerInfo("new", "lm-notice", "10.0.0.9:80", "hall-a", 16, false, 0, Map.of("lm", 2), 0,
				RunnerStart.UNKNOWN);
	}

	// A burst: requests wait 1.3 s in the engine's queue before they begin. Sent at the
	// usual margin before the version binds, one would begin on the older weights after
	// it. The wait that was seen just now widens the margin.
	@Test
	void theMarginFollowsTheWaitThatIsSeen() {
		Desk desk = oldAndNew();
		desk.dispatcher.named(new NamedWeights("lm", 2), false, desk.now);
		desk.after(4300);
		Job slow = desk.arrive(Desk.STREAM);
		desk.after(900).after(400);
		desk.firstEvent(slow);
		desk.done();
		desk.with(onNewWeights()).after(400);
		for (int i = 0; i < 8; i++) {
			desk.arrive(Desk.STREAM);
		}
		assertThat(desk.done(), Matchers.everyItem(Matchers.equalTo("Send:new")));
	}

	// Callers that were refused come back and wait behind all others for a second.
	// That
	// says nothing of requests that go first: bound as early as the last of the queue
	// they
	// would be refused for seconds in which engines may still answer them.
	@Test
	void theWaitOfThoseThatComeLastDoesNotCountForTheOthers() {
		Desk desk = oldAndNew();
		desk.dispatcher.named(new NamedWeights("lm", 2), false, desk.now);
		desk.after(4900);
		desk.dispatcher.peerRefused(new RefusedRequest(7, desk.now - 2000 * Desk.MILLI, desk.now + 4000 * Desk.MILLI));
		Job late = desk.arrive(Desk.STREAM, new Job.Size(1000, 100, OptionalInt.empty()), 4000,
				java.util.OptionalLong.of(7));
		for (int i = 0; i < 10; i++) {
			desk.after(110);
		}
		desk.firstEvent(late);
		desk.done();
		desk.after(200);
		desk.arrive(Desk.STREAM);
		assertThat(desk.done(), Matchers.contains("Send:old"));
	}

	// A request waits longer at its engine than anybody foresaw. Just before the named
	// version has to be in force it is taken back, and goes to an engine that holds it.
	@Test
	void whatHasNotBegunWhenTheVersionBindsIsTakenBack() {
		Desk desk = oldAndNew();
		desk.dispatcher.named(new NamedWeights("lm", 2), false, desk.now);
		desk.after(6750);
		desk.arrive(Desk.STREAM);
		assertThat(desk.done(), Matchers.contains("Send:old"));
		desk.with(onNewWeights());
		for (int i = 0; i < 58; i++) {
			desk.after(20);
		}
		assertThat(desk.done(), Matchers.contains("Stop", "Send:new"));
	}

	// The same with a stream that may run once only: it may have begun this moment, so it
	// ends as one that may have run.
	@Test
	void whatMayRunOnceOnlyIsEndedInstead() {
		Desk desk = oldAndNew();
		desk.dispatcher.named(new NamedWeights("lm", 2), false, desk.now);
		desk.after(6750);
		desk.arrive(Desk.STREAM_ONCE);
		desk.done();
		for (int i = 0; i < 58; i++) {
			desk.after(20);
		}
		assertThat(desk.done(), Matchers.contains("Stop", "Fail:run-broken"));
	}

	// The engine has changed over while the request waited: it begins on the new weights.
	@Test
	void whatBeginsOnTheNewWeightsIsLeftWhereItIs() {
		Desk desk = oldAndNew();
		desk.dispatcher.named(new NamedWeights("lm", 2), false, desk.now);
		desk.after(6750);
		desk.arrive(Desk.STREAM);
		desk.done();
		desk.dispatcher.agentSays(Desk.engine("old").address(),
				new EngineWord(OptionalInt.of(2), false, java.util.OptionalLong.empty(), RunnerStart.UNKNOWN),
				desk.now);
		for (int i = 0; i < 58; i++) {
			desk.after(20);
		}
		assertThat(desk.done(), Matchers.empty());
	}

	// A stream on the older weights breaks off when the newer ones bind. Gone on with
	// elsewhere it would begin anew on weights that are no longer accepted.
	@Test
	void aBrokenStreamIsNotResumedOnWeightsThatAreOver() {
		Desk desk = oldAndNew().with(Desk.engine("old-too"));
		desk.dispatcher.named(new NamedWeights("lm", 2), false, desk.now);
		desk.after(5000);
		Job job = desk.arrive(Desk.STREAM);
		job.begunOn(OptionalInt.of(1));
		desk.firstEvent(job);
		desk.done();
		for (int i = 0; i < 10; i++) {
			desk.after(200);
			job.progressed(1, java.util.Optional.of("2"), desk.now);
		}
		desk.ended(job, Outcome.BROKEN);
		for (int i = 0; i < 20; i++) {
			desk.after(20);
		}
		assertThat(desk.done(), Matchers.contains("Fail:run-broken"));
	}

}
