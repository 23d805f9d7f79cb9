package org.wisteriapost.policy.dispatch;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.fleet.NamedWeights;

import static org.hamcrest.MatcherAssert.assertThat;

class CutOffRunnerTests {

	private static final long STEP_MILLIS = 20;

	private static final long FIRST_EVENT_MILLIS = 160;

	// A runner is cut off: connections to it can't be made any more. A stream that it
	// began before that ends whole a moment later, since its last events were on their
	// way. That says nothing of the way there, but all went there again at once.
	@Test
	void theEndOfAnOldAnswerDoesNotBringBackARunnerThatIsCutOff() {
		Desk desk = new Desk().with(Desk.engine("a"));
		Job old = desk.arrive(Desk.STREAM);
		desk.after(FIRST_EVENT_MILLIS);
		desk.firstEvent(old);
		Job cut = desk.arrive(Desk.STREAM);
		desk.after(400);
		desk.with(Desk.engine("b"));
		desk.ended(cut, Outcome.NOT_SENT);
		desk.after(40);
		desk.ended(old, Outcome.DONE);
		desk.done();
		for (int i = 0; i < 12; i++) {
			desk.arrive(Desk.STREAM, 100, 6000);
			desk.after(STEP_MILLIS);
		}
		assertThat(desk.done(), Matchers.everyItem(Matchers.equalTo("Send:b")));
	}

	// A runner could not be connected to, and can again: the first event of the one
	// request that tried it says so. Its answer goes on for seconds; all that time the
	// runner's other slots would stay empty.
	@Test
	void aRunnerThatIsReachedAgainTakesMoreFromTheFirstEventOn() {
		Desk desk = new Desk().with(Desk.engine("a"));
		desk.ended(desk.arrive(Desk.STREAM), Outcome.NOT_SENT);
		desk.after(500);
		desk.done();
		Job probe = desk.arrive(Desk.STREAM);
		assertThat(desk.done(), Matchers.contains("Send:a"));
		desk.after(FIRST_EVENT_MILLIS);
		desk.with(Desk.engine("b"));
		desk.others("b", new PeerLoad(6, 3, 3000));
		desk.firstEvent(probe);
		desk.arrive(Desk.STREAM);
		assertThat(desk.done(), Matchers.contains("Send:a"));
	}

	// Newer weights are named, and the link to one engine holds things up for a second
	// and more. Requests wait long there, and it is known to be cut off. The others begin
	// what they get at once, and are not to be given up seconds before the newer weights
	// bind.
	@Test
	void theWaitAtARunnerThatIsCutOffDoesNotBindTheOthers() {
		Desk desk = heldUpWhenWeightsAreNamed();
		Job cut = desk.arrive(Desk.STREAM_ONCE);
		desk.after(400);
		desk.with(Desk.engine("b"));
		desk.ended(cut, Outcome.NOT_SENT);
		desk.after(FIRST_EVENT_MILLIS);
		desk.firstEvent(cut);
		desk.after(740);
		desk.done();
		desk.arrive(Desk.STREAM);
		assertThat(desk.done(), Matchers.contains("Send:b"));
	}

	// The same runner, once it may be tried again: what waited there a moment ago waited
	// for so long that one more would begin on weights that are over by then.
	@Test
	void aRunnerThatWasCutOffIsBoundByItsOwnWaits() {
		Desk desk = heldUpWhenWeightsAreNamed();
		Job cut = desk.arrive(Desk.STREAM_ONCE);
		desk.after(400);
		desk.ended(cut, Outcome.NOT_SENT);
		desk.after(900);
		desk.done();
		desk.arrive(Desk.STREAM);
		desk.after(200);
		assertThat(desk.done(), Matchers.contains("Refuse:no-usable-runner"));
	}

	// The registration of a runner lapses, since its VM can't be reached, and comes back
	// a moment later: the same start of it. What was known of it, that it is cut off and
	// what is in flight there, was forgotten, and all entries sent there at once.
	@Test
	void aRegistrationThatComesBackIsTheSameRunner() {
		Desk desk = new Desk().with(Desk.engine("a"), Desk.engine("b"));
		Job running = desk.arrive(Desk.STREAM);
		String cut = running.runner.orElseThrow().info.id();
		String other = cut.equals("a") ? "b" : "a";
		desk.after(FIRST_EVENT_MILLIS);
		desk.firstEvent(running);
		Job next = desk.arrive(Desk.STREAM);
		while (!next.runner.orElseThrow().info.id().equals(cut)) {
			desk.ended(next, Outcome.DONE);
			next = desk.arrive(Desk.STREAM);
		}
		desk.ended(next, Outcome.NOT_SENT);
		desk.dispatcher.runnerRemoved(cut, desk.now);
		desk.after(150);
		desk.with(Desk.engine(cut));
		desk.drain();
		for (int i = 0; i < 6; i++) {
			desk.arrive(Desk.STREAM, 100, 6000);
		}
		assertThat(desk.done(),
				Matchers.allOf(Matchers.hasItem("Send:" + other), Matchers.not(Matchers.hasItem("Send:" + cut))));
		assertThat(desk.dispatcher.fleet().ownLoad().stream().filter((load) -> load.runner().equals(cut)).toList(),
				Matchers.contains(new RunnerLoad(cut, Desk.engine(cut).start(), new PeerLoad(1, 0, 0))));
	}

	// Named 4.5 seconds ago, and one request waits at the only engine for a second.
	private static Desk heldUpWhenWeightsAreNamed() {
		Desk desk = new Desk().with(Desk.engine("a"));
		desk.dispatcher.named(new NamedWeights("lm", 1), true, desk.now);
		desk.after(10_000);
		desk.dispatcher.named(new NamedWeights("lm", 2), false, desk.now);
		desk.after(3500);
		desk.arrive(Desk.STREAM_ONCE);
		desk.after(500).after(500);
		return desk;
	}

}
