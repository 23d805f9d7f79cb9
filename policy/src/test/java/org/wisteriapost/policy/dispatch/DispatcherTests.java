package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.policy.routing.Route;

import static org.hamcrest.MatcherAssert.assertThat;

class DispatcherTests {

	// The caller of a call that may run once must never have it run twice, whatever its
	// runner does after it has been sent the request: a second run would allocate a
	// second number. Only a promise that it has not run lets it go elsewhere.
	@ParameterizedTest
	@EnumSource(names = { "BROKEN", "ERROR" })
	void whatMayRunOnceIsNotSentAgain(Outcome outcome) {
		Desk desk = new Desk().with(Desk.plain("r1"), Desk.plain("r2"));
		Job job = desk.arrive(Desk.ALLOCATE);
		assertThat(desk.done(), Matchers.hasSize(1));
		desk.ended(job, outcome);
		desk.after(1000);
		assertThat(desk.done(), Matchers.not(Matchers.hasItem(Matchers.startsWith("Send"))));
	}

	@ParameterizedTest
	@EnumSource(names = { "NOT_SENT", "FULL", "MISDIRECTED" })
	void whatCertainlyHasNotRunGoesToAnotherRunner(Outcome outcome) {
		Desk desk = new Desk().with(Desk.plain("r1"), Desk.plain("r2"));
		Job job = desk.arrive(Desk.ALLOCATE);
		String first = desk.done().getFirst();
		desk.ended(job, outcome);
		List<String> then = desk.done();
		assertThat(then, Matchers.hasSize(1));
		assertThat(then.getFirst(), Matchers.allOf(Matchers.startsWith("Send"), Matchers.not(first)));
	}

	@Test
	void repeatableWorkRunsOnNoMoreRunnersThanItsRouteAllows() {
		Desk desk = new Desk().with(Desk.plain("r1"), Desk.plain("r2"), Desk.plain("r3"));
		Job job = desk.arrive(Desk.LOOKUP);
		desk.ended(job, Outcome.BROKEN);
		desk.ended(job, Outcome.BROKEN);
		assertThat(desk.done(), Matchers.contains(Matchers.startsWith("Send"), Matchers.startsWith("Send"),
				Matchers.equalTo("Fail:run-broken")));
	}

	// A runner's own failure is its answer: when nobody else may be asked, the caller
	// gets it unchanged.
	@Test
	void aRunnersFailureIsPassedOnWhenNobodyElseMayBeAsked() {
		Desk desk = new Desk().with(Desk.plain("r1"));
		Job job = desk.arrive(Desk.ALLOCATE);
		desk.ended(job, Outcome.ERROR);
		assertThat(desk.done(), Matchers.contains("Send:r1", "PassOn"));
	}

	static Stream<Arguments> streams() {
		return Stream.of(Arguments.of(Desk.STREAM, "Send"), Arguments.of(Desk.STREAM_ONCE, "Fail:run-broken"));
	}

	// The runner dies after some events. A stream that may be resumed goes on at another
	// runner after its last event; another one is cut, since a second run would begin
	// from the start.
	@ParameterizedTest
	@MethodSource("streams")
	void aStreamThatBreaksGoesOnOnlyWhereItMay(Route route, String expected) {
		Desk desk = new Desk().with(Desk.engine("e1"), Desk.engine("e2"));
		Job job = desk.arrive(route);
		desk.firstEvent(job);
		desk.done();
		desk.ended(job, Outcome.BROKEN);
		assertThat(desk.done().getFirst(), Matchers.startsWith(expected));
	}

	// The engine takes the request and says nothing more: its machine is dark. The caller
	// would wait until it gives up; after a second of silence another runner is asked.
	@Test
	void aSilentEngineIsLeftForAnother() {
		Desk desk = new Desk().with(Desk.engine("e1"), Desk.engine("e2"));
		desk.arrive(Desk.STREAM);
		String first = desk.done().getFirst();
		for (int i = 0; i < 100; i++) {
			desk.after(20);
		}
		List<String> then = desk.done();
		assertThat(then.get(0), Matchers.equalTo("Stop"));
		assertThat(then.get(1), Matchers.allOf(Matchers.startsWith("Send"), Matchers.not(first)));
	}

	@Test
	void timeThatRunsOutBeforeAnyRunIsARefusalAndAfterOneIsNot() {
		Desk none = new Desk();
		none.arrive(Desk.ALLOCATE);
		none.after(700);
		assertThat(none.done(), Matchers.contains(Matchers.startsWith("Refuse")));
		Desk one = new Desk().with(Desk.plain("r1"));
		one.arrive(Desk.ALLOCATE);
		one.after(700);
		assertThat(one.done(), Matchers.contains("Send:r1", "Stop", "Fail:time-over"));
	}

	@Test
	void aCallerThatLeavesStopsItsRun() {
		Desk desk = new Desk().with(Desk.engine("e1"));
		Job job = desk.arrive(Desk.STREAM);
		desk.dispatcher.gone(job, desk.now);
		assertThat(desk.done(), Matchers.contains("Send:e1", "Stop"));
		assertThat(desk.dispatcher.inProgress(), Matchers.equalTo(0));
	}

	@Test
	void aRunnerThatLeavesGetsNothingNew() {
		Desk desk = new Desk().with(Desk.plain("r1"), Desk.plain("r2"));
		desk.dispatcher.runnerRemoved("r1", desk.now);
		for (int i = 0; i < 20; i++) {
			desk.ended(desk.arrive(Desk.LOOKUP), Outcome.DONE);
		}
		assertThat(desk.done(), Matchers.everyItem(Matchers.equalTo("Send:r2")));
	}

	// Registrations lapse while the store is away, all at once. The entry must go on with
	// the runners it knows; one that is still missing some time after the store is back
	// has gone.
	@Test
	void runnersThatLapseInAnOutageAreKeptUntilTheStoreHasBeenBack() {
		Desk desk = new Desk().with(Desk.plain("r1"));
		desk.dispatcher.store(false, desk.now);
		desk.dispatcher.runnerRemoved("r1", desk.now);
		desk.ended(desk.arrive(Desk.LOOKUP), Outcome.DONE);
		assertThat(desk.done(), Matchers.contains("Send:r1"));
		desk.after(5000);
		desk.dispatcher.store(true, desk.now);
		desk.after(1000);
		desk.ended(desk.arrive(Desk.LOOKUP), Outcome.DONE);
		assertThat(desk.done(), Matchers.contains("Send:r1"));
		desk.after(2000);
		desk.arrive(Desk.LOOKUP);
		desk.after(300);
		assertThat(desk.done(), Matchers.contains("Refuse:no-usable-runner"));
	}

}
