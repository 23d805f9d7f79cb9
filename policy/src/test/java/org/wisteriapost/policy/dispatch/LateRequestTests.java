package org.wisteriapost.policy.dispatch;

import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;

class LateRequestTests {

	private final Desk desk = new Desk().with(Desk.engine("e1"));

	// The longest time that callers give, so that less tells of an earlier attempt.
	@BeforeEach
	void oneThatIsInTime() {
		Job first = this.desk.arrive(Desk.STREAM, 100, 6000);
		this.desk.after(100);
		this.desk.firstEvent(first);
		this.desk.ended(first, Outcome.DONE);
		this.desk.done();
	}

	private void atTheEngine(int requests) {
		this.desk.dispatcher.peerLoad("other", "e1", new PeerLoad(requests, 0, 0), this.desk.now);
	}

	// A caller was refused and came back two seconds later: too late for a first event in
	// time, and a second refusal is its last. A slot that nobody else wants is its.
	@Test
	void whoComesBackIsServedFromASpareSlot() {
		atTheEngine(13);
		this.desk.arrive(Desk.STREAM, 1000, 4000);
		assertThat(this.desk.done(), Matchers.contains("Send:e1"));
	}

	// The same, while others are turned away: a slot given to a late answer is one
	// less for an answer in time, so none but an idle engine's is given.
	@Test
	void whileOthersAreTurnedAwaySlotsAreKeptForThem() {
		atTheEngine(18);
		this.desk.arrive(Desk.STREAM, 1000, 6000);
		this.desk.after(160);
		assertThat(this.desk.done(), Matchers.contains("Refuse:no-room"));
		atTheEngine(8);
		this.desk.arrive(Desk.STREAM, 1000, 4000);
		assertThat(this.desk.done(), Matchers.contains("Refuse:no-room"));
		this.desk.after(310);
		this.desk.arrive(Desk.STREAM, 1000, 4000);
		assertThat(this.desk.done(), Matchers.contains("Send:e1"));
	}

	@Test
	void aLateRequestWaitsForABoundedTimeOnly() {
		atTheEngine(18);
		this.desk.arrive(Desk.STREAM, 1000, 4000);
		assertThat(this.desk.done(), Matchers.empty());
		this.desk.after(420);
		assertThat(this.desk.done(), Matchers.contains("Refuse:no-room"));
	}

	// Engines start anew and none can be used. Whoever asks is told at once, and to come
	// back as late as it bears, spread over a while, so that all do not come together.
	@ParameterizedTest
	@CsvSource({ "6000,1400,2000", "600,140,200" })
	void whoIsRefusedIsTheMoreLikelyServedTheLaterItComesBack(long remaining, long least, long most) {
		Desk empty = new Desk();
		empty.arrive((remaining > 1000) ? Desk.STREAM : Desk.LOOKUP, 100, remaining);
		empty.after(70);
		List<DispatchEffect> effects = empty.dispatcher.drain();
		assertThat(effects, Matchers.hasSize(1));
		long retryAfter = ((DispatchEffect.Refuse) effects.getFirst()).retryAfterMillis();
		assertThat(retryAfter,
				Matchers.allOf(Matchers.greaterThanOrEqualTo(least * 9 / 10), Matchers.lessThanOrEqualTo(most)));
	}

}
