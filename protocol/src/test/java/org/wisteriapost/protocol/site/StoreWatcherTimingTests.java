package org.wisteriapost.protocol.site;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.site.ObjectStore.Change;
import org.wisteriapost.protocol.site.ObjectStore.Changes;
import org.wisteriapost.protocol.site.ObjectStore.Page;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * The confirmed times that a {@link StoreWatcher} reports, and when it reports that its
 * objects may be stale.
 */
class StoreWatcherTimingTests extends StoreWatcherFixture {

	// The leader's connection to the store has stalled. Its followers could read the
	// store themselves, so it must warn them before its own call has timed out.
	@Test
	void leaderReportsUnansweredWatchBeforeCallTimesOut() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		StoreWatcher watcher = start();
		awaitScriptFinished();
		watcher.setLeader(true);
		events();
		this.store.unresponsive = true;
		this.store.pendingWatch.completeExceptionally(CodedException.of(ObjectStore.UNAVAILABLE, "scripted"));
		for (int i = 0; i < 100 && !events().contains("doubt"); i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		assertThat(events(), Matchers.contains("back", "all[a]", "doubt"));
	}

	// A watch fails over a saturated link with slow responses. Warning the followers at
	// once would make all of them read the store over the same link, although their
	// staleness bound, which counts from the last confirmed time, is not yet exceeded.
	@ParameterizedTest
	@CsvSource({ "ROUTES,0,1800", "ROUTES,700,1100", "ROUTES,1400,400", "ROUTES,1600,400", "RUNNERS,0,1800",
			"WEIGHTS,500,1300", "EVACUATIONS,0,1800", "ENTRIES,0,16000", "ENTRIES,15600,400" })
	void leaderReportsPossibleStalenessOnlyWhenConfirmationIsOverdue(ObjectKind kind, long failedMillis,
			long warningDelayMillis) throws Exception {
		AtomicLong now = new AtomicLong(this.startedNanos);
		this.clock = now::get;
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		StoreWatcher watcher = start(kind);
		awaitScriptFinished();
		watcher.setLeader(true);
		events();
		this.store.unresponsive = true;
		now.addAndGet(TimeUnit.MILLISECONDS.toNanos(failedMillis));
		this.store.pendingWatch.completeExceptionally(CodedException.of(ObjectStore.UNAVAILABLE, "scripted"));
		events();
		assertThat(this.delaysMillis, Matchers.contains(warningDelayMillis));
	}

	// Two watches fail in succession. The missing response to the second must not
	// count as a missing response to the first.
	@Test
	void answeredFailureDoesNotCountForNextWatch() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		List<Runnable> warnings = new CopyOnWriteArrayList<>();
		this.scheduled = warnings::add;
		StoreWatcher watcher = start();
		awaitScriptFinished();
		watcher.setLeader(true);
		events();
		this.store.pendingWatch.completeExceptionally(CodedException.of(ObjectStore.UNAVAILABLE, "scripted"));
		eventsAfter(4);
		this.store.unresponsive = true;
		this.store.pendingWatch.completeExceptionally(CodedException.of(ObjectStore.UNAVAILABLE, "scripted"));
		eventsAfter(5);
		this.timer.execute(warnings.getFirst());
		assertThat(events(), Matchers.not(Matchers.hasItem("doubt")));
		this.timer.execute(warnings.getLast());
		assertThat(events(), Matchers.hasItem("doubt"));
	}

	// An entry rejects requests for an unknown route only if its table is confirmed to be
	// recent enough. A listing confirms the time of its first request, and the
	// confirmation follows the objects that it covers.
	@Test
	void listingIsConfirmedAsOfItsFirstPage() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), true, 5));
		this.store.pages.add(new Page(List.of(item("b", 9)), false, 9));
		follow();
		Confirmed only = confirmed().getFirst();
		assertRequestTime(0, only.confirmedNanos());
		assertThat(only.precedingEvents(), Matchers.contains("back", "all[a, b]"));
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void changesAreConfirmedAsOfTheirRequest(boolean afterALostWatch) throws Exception {
		Changes changes = new Changes(List.of(new Change(item("b", 7), false)), 9);
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		if (afterALostWatch) {
			this.store.failures.add(ObjectStore.UNAVAILABLE);
			this.store.catchUpChanges.add(changes);
		}
		else {
			this.store.changes.add(changes);
		}
		follow();
		Confirmed last = confirmed().getLast();
		assertRequestTime(afterALostWatch ? 2 : 1, last.confirmedNanos());
		assertThat(last.precedingEvents(), Matchers.contains("back", "all[a]", "+b@7"));
	}

	// A watch that the store held for its full wait confirms the end of the wait, without
	// the network delay of the response. A watch that ended early, or whose response
	// arrived so late that it may have ended early, confirms only the time of the
	// request.
	@ParameterizedTest
	@CsvSource({ "ENTRIES,0,false", "ROUTES,0,false", "ROUTES,999,false", "ROUTES,1000,true", "ROUTES,1100,true",
			"ROUTES,1250,true", "ROUTES,1251,false", "ROUTES,1500,false" })
	void emptyWatchIsConfirmedAsOfItsEndIfHeldForFullWait(ObjectKind kind, long responseMillis, boolean held)
			throws Exception {
		AtomicLong now = new AtomicLong(this.startedNanos);
		this.clock = now::get;
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		StoreWatcher watcher = start(kind);
		awaitScriptFinished();
		long waitNanos = this.store.waits.getLast().toNanos();
		now.addAndGet(TimeUnit.MILLISECONDS.toNanos(responseMillis));
		this.store.pendingWatch.complete(new Changes(List.of(), 5));
		watcher.pause();
		events();
		assertThat(confirmed().get(1).confirmedNanos() - this.startedNanos, Matchers.is(held ? waitNanos : 0L));
	}

	// The same with the system clock.
	@Test
	void delayedEmptyWatchIsConfirmedAsOfItsRequest() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		StoreWatcher watcher = start(ObjectKind.ROUTES);
		awaitScriptFinished();
		long waitNanos = this.store.waits.getLast().toNanos();
		TimeUnit.NANOSECONDS.sleep(waitNanos + TimeUnit.MILLISECONDS.toNanos(500));
		this.store.pendingWatch.complete(new Changes(List.of(), 5));
		watcher.pause();
		events();
		assertRequestTime(1, confirmed().get(1).confirmedNanos());
	}

	// The route table must be confirmed well within the usual activation delay, and a
	// leader must detect a stalled connection sooner.
	@ParameterizedTest
	@CsvSource({ "ROUTES,false,1000", "ROUTES,true,800", "RUNNERS,false,2200", "RUNNERS,true,800", "WEIGHTS,true,800",
			"ENTRIES,false,15000", "ENTRIES,true,15000" })
	void watchWaitDependsOnKindAndRole(ObjectKind kind, boolean leader, long millis) throws Exception {
		this.store.pages.add(new Page(List.of(), false, 5));
		start(kind).setLeader(leader);
		for (int i = 0; i < 100 && this.store.requests.size() < 2; i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		this.store.pendingWatch.complete(new Changes(List.of(), 5));
		for (int i = 0; i < 100 && this.store.requests.size() < 3; i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		assertThat(this.store.waits.getLast(), Matchers.is(Duration.ofMillis(millis)));
	}

}
