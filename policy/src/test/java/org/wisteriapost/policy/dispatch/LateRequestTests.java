package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;

class LateRequestTests {

	private static final Job.Size USUAL = new Job.Size(1000, 100, OptionalInt.empty());

	private final Desk desk = new Desk().with(Desk.engine("e1"));

	private long requests;

	// Another entry refused it two seconds ago, and has said so.
	private Job comesBack(long remainingMillis) {
		this.requests++;
		long askedNanos = this.desk.now - 2000 * Desk.MILLI;
		this.desk.dispatcher
			.peerRefused(new RefusedRequest(this.requests, askedNanos, this.desk.now + remainingMillis * Desk.MILLI));
		return this.desk.arrive(Desk.STREAM, USUAL, remainingMillis, OptionalLong.of(this.requests));
	}

	private void atTheEngine(int requests) {
		this.desk.others("e1", new PeerLoad(requests, 0, 0));
	}

	// A caller was refused and came back two seconds later: too late for a first event in
	// time, and a second refusal is its last. A slot that nobody else wants is its.
	@Test
	void whoComesBackIsServedFromASpareSlot() {
		atTheEngine(13);
		comesBack(4000);
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
		comesBack(4000);
		assertThat(this.desk.done(), Matchers.contains("Refuse:no-room"));
		this.desk.after(310);
		comesBack(4000);
		assertThat(this.desk.done(), Matchers.contains("Send:e1"));
	}

	@Test
	void aLateRequestWaitsForABoundedTimeOnly() {
		atTheEngine(18);
		comesBack(4000);
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
		List<DispatchEffect> effects = empty.drain();
		assertThat(effects, Matchers.hasSize(1));
		long retryAfter = ((DispatchEffect.Refuse) effects.getFirst()).retryAfterMillis();
		assertThat(retryAfter,
				Matchers.allOf(Matchers.greaterThanOrEqualTo(least * 9 / 10), Matchers.lessThanOrEqualTo(most)));
	}

	// Nobody has been refused. Callers give differently much time: evenly spread, of
	// two kinds, or less since a newer declaration has lowered it. None of that says
	// that they have asked before, so all of them go at their own rank.
	@ParameterizedTest
	@MethodSource("budgets")
	void howMuchTimeACallerGivesDoesNotMakeItLate(List<Integer> remainingMillis) {
		for (int remaining : remainingMillis) {
			Job job = this.desk.arrive(Desk.STREAM, USUAL, remaining, OptionalLong.of(this.requests++));
			assertThat(ranks(), Matchers.contains(Desk.STREAM.priority()));
			this.desk.after(100);
			this.desk.firstEvent(job);
			this.desk.ended(job, Outcome.DONE);
		}
	}

	static List<List<Integer>> budgets() {
		return List.of(List.of(6000, 5100, 5900, 5500, 5300), List.of(6000, 2000, 6000, 2000),
				List.of(6000, 6000, 3000, 3000));
	}

	// This entry refused the request itself, and it comes back: it is late, and goes
	// after all others at the engine. Another one about the same prompt, whose caller
	// gives up at another time, is a first attempt.
	@ParameterizedTest
	@CsvSource({ "4000,true", "6000,false" })
	void whoWasRefusedIsKnownAgain(long remainingMillis, boolean known) {
		atTheEngine(18);
		this.desk.arrive(Desk.STREAM, USUAL, 6000, OptionalLong.of(7));
		this.desk.after(160);
		assertThat(this.desk.done(), Matchers.contains("Refuse:no-room"));
		this.desk.after(1840);
		atTheEngine(0);
		this.desk.arrive(Desk.STREAM, USUAL, remainingMillis, OptionalLong.of(7));
		assertThat(ranks().getFirst() > Desk.STREAM.priority(), Matchers.equalTo(known));
	}

	private List<Integer> ranks() {
		return this.desk.drain()
			.stream()
			.filter(DispatchEffect.Send.class::isInstance)
			.map((effect) -> ((DispatchEffect.Send) effect).rank())
			.toList();
	}

}
