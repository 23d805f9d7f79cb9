package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;

class LoadTests {

	// A burst of twice what the engines can begin in time: what is sent can be in time,
	// the rest is refused at once, none waits for its deadline.
	@Test
	void aBurstIsServedAsFarAsItCanBeInTimeAndTheRestIsToldAtOnce() {
		Desk desk = new Desk().with(Desk.engine("e1"), Desk.engine("e2"));
		for (int i = 0; i < 80; i++) {
			desk.arrive(Desk.STREAM);
		}
		for (int i = 0; i < 30; i++) {
			desk.after(20);
		}
		List<String> done = desk.done();
		long sent = done.stream().filter((one) -> one.startsWith("Send")).count();
		long refused = done.stream().filter((one) -> one.equals("Refuse:no-room")).count();
		assertThat(sent, Matchers.allOf(Matchers.greaterThan(10L), Matchers.lessThanOrEqualTo(32L)));
		assertThat(sent + refused, Matchers.equalTo(80L));
	}

	// Skew: long prompts fill one engine's reading. A short one goes where it is read
	// first, although both engines have as many requests.
	@Test
	void aShortPromptGoesWhereLessIsWaitingToBeRead() {
		Desk desk = new Desk().with(Desk.engine("e1"), Desk.engine("e2"));
		desk.others("e1", new PeerLoad(3, 3, 9000));
		desk.others("e2", new PeerLoad(3, 3, 600));
		desk.arrive(Desk.STREAM, 100, 6000);
		assertThat(desk.done(), Matchers.contains("Send:e2"));
	}

	// One slow endpoint among well ones: its first events take six times as long as
	// predicted, so it gets less and less.
	@Test
	void anEngineSlowerThanPredictedGetsLess() {
		Desk desk = new Desk().with(Desk.engine("e1"), Desk.engine("e2"));
		int slow = 0;
		for (int i = 0; i < 60; i++) {
			Job job = desk.arrive(Desk.STREAM);
			boolean toSlow = desk.done().contains("Send:e1");
			slow += (toSlow && i >= 30) ? 1 : 0;
			desk.after(toSlow ? 900 : 110);
			desk.firstEvent(job);
			desk.ended(job, Outcome.DONE);
			desk.done();
		}
		assertThat(slow, Matchers.lessThan(5));
	}

	// Links are busy and every first event takes three times as long as the engines'
	// declared speed says. What the entry sees of any engine counts for all of them, so
	// it soon admits less: the engines hold fewer than their slots.
	@Test
	void lateFirstEventsOfAnyEngineMakeItAdmitLess() {
		Desk desk = new Desk().with(Desk.engine("e1"), Desk.engine("e2"), Desk.engine("e3"));
		for (int i = 0; i < 40; i++) {
			Job job = desk.arrive(Desk.STREAM);
			desk.done();
			desk.after(390);
			desk.firstEvent(job);
			desk.ended(job, Outcome.DONE);
		}
		desk.done();
		for (int i = 0; i < 60; i++) {
			desk.arrive(Desk.STREAM);
		}
		for (int i = 0; i < 15; i++) {
			desk.after(20);
		}
		long sent = desk.done().stream().filter((one) -> one.startsWith("Send")).count();
		assertThat(sent, Matchers.lessThan(40L));
	}

	// All engines are full. Who cannot have a slot within a third of the time that its
	// caller expects is told at once, not when that time is over.
	@Test
	void nobodyWaitsBehindMoreThanCanBeServed() {
		Desk desk = new Desk().with(Desk.engine("e1"));
		desk.others("e1", new PeerLoad(16, 0, 0));
		for (int i = 0; i < 10; i++) {
			desk.arrive(Desk.STREAM);
		}
		List<String> done = desk.done();
		long sent = done.stream().filter((one) -> one.startsWith("Send")).count();
		long refused = done.stream().filter((one) -> one.startsWith("Refuse")).count();
		assertThat("in the engine's own queue", sent, Matchers.lessThanOrEqualTo(2L));
		assertThat("waiting here", 10 - sent - refused, Matchers.lessThanOrEqualTo(1L));
		desk.after(160);
		assertThat(desk.dispatcher.inProgress(), Matchers.equalTo((int) sent));
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 11, 40 })
	void evenLoadIsSpreadEvenly(int engines) {
		Desk desk = new Desk();
		for (int i = 0; i < engines; i++) {
			desk.with(Desk.engine("engine-" + i));
		}
		for (int i = 0; i < engines * 4; i++) {
			desk.arrive(Desk.STREAM, 200, 6000);
		}
		List<String> done = new ArrayList<>(desk.done());
		int most = 0;
		for (String one : done) {
			most = Math.max(most, Collections.frequency(done, one));
		}
		assertThat(most, Matchers.lessThanOrEqualTo(7));
	}

	// A third of the runners is lost at one moment: connections to them fail at once, and
	// after the first failure of each nobody else is sent there.
	@Test
	void afterTheFirstFailedConnectionNobodyElseIsSentThere() {
		Desk desk = new Desk().with(Desk.plain("r1"), Desk.plain("r2"), Desk.plain("r3"));
		int lost = 0;
		for (int i = 0; i < 30; i++) {
			Job job = desk.arrive(Desk.LOOKUP);
			if (desk.done().contains("Send:r1")) {
				lost++;
				desk.ended(job, Outcome.NOT_SENT);
				desk.done();
			}
			desk.ended(job, Outcome.DONE);
			desk.after(5);
		}
		assertThat(lost, Matchers.equalTo(1));
	}

	// Six entries share one budget without asking each other. Whatever fails, all of them
	// together stay within it in every window.
	@Test
	void sixEntriesTogetherStayWithinTheRetryBudget() {
		int entries = 6;
		int requests = 0;
		int retries = 0;
		List<RetryAllowance> all = new ArrayList<>();
		for (int i = 0; i < entries; i++) {
			all.add(new RetryAllowance(0.2, 100, java.time.Duration.ofSeconds(10)));
		}
		for (int milli = 0; milli < 10_000; milli += 20) {
			for (RetryAllowance one : all) {
				one.first();
				requests++;
				retries += one.take(entries, milli * Desk.MILLI) ? 1 : 0;
			}
		}
		assertThat((double) retries, Matchers.lessThanOrEqualTo(requests * 0.2 + 100));
		assertThat(retries, Matchers.greaterThan(requests / 10));
	}

}
