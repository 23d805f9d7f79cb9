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
 * As of when a follower knows what it says, and when it says that it may be behind.
 */
class FollowerTimesTests extends FollowerSetting {

	// Others rely on what this process follows, and its connection to the store has gone
	// silent. They are in touch with the store themselves and would go on with what is
	// old: that it may be so is said before the listing has failed.
	@Test
	void whoIsReliedOnSaysSoonThatItMayBeBehind() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		Follower follower = start();
		awaitScriptOver();
		follower.reliedOn(true);
		heard();
		this.store.silent = true;
		this.store.waiting.completeExceptionally(CodedException.of(ObjectStore.UNAVAILABLE, "scripted"));
		for (int i = 0; i < 100 && !heard().contains("doubt"); i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		assertThat(heard(), Matchers.contains("back", "all[a]", "doubt"));
	}

	// The store cuts a watch over a full link, where an answer takes half a second. All
	// that rely on this process would look for another one, and read themselves over the
	// same link, though nothing is late yet: what they are bound by counts from what was
	// known last. Entries bind nobody, and come late in any case.
	@ParameterizedTest
	@CsvSource({ "ROUTES,0,1800", "ROUTES,700,1100", "ROUTES,1400,400", "ROUTES,1600,400", "RUNNERS,0,1800",
			"WEIGHTS,500,1300", "ENTRIES,0,16000", "ENTRIES,15600,400" })
	void whoIsReliedOnSaysThatItMayBeBehindWhenItIsLate(Kind kind, long cutMillis, long doubtMillis) throws Exception {
		AtomicLong now = new AtomicLong(this.startedNanos);
		this.clock = now::get;
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		Follower follower = start(kind);
		awaitScriptOver();
		follower.reliedOn(true);
		heard();
		this.store.silent = true;
		now.addAndGet(TimeUnit.MILLISECONDS.toNanos(cutMillis));
		this.store.waiting.completeExceptionally(CodedException.of(ObjectStore.UNAVAILABLE, "scripted"));
		heard();
		assertThat(this.delaysMillis, Matchers.contains(doubtMillis));
	}

	// Two watches are cut one after the other. That the second has no answer yet was
	// taken for the silence after the first.
	@Test
	void aDoubtThatWasAnsweredDoesNotCountForTheNextWatch() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		List<Runnable> doubts = new CopyOnWriteArrayList<>();
		this.scheduled = doubts::add;
		Follower follower = start();
		awaitScriptOver();
		follower.reliedOn(true);
		heard();
		this.store.waiting.completeExceptionally(CodedException.of(ObjectStore.UNAVAILABLE, "scripted"));
		heardAfter(4);
		this.store.silent = true;
		this.store.waiting.completeExceptionally(CodedException.of(ObjectStore.UNAVAILABLE, "scripted"));
		heardAfter(5);
		this.timer.execute(doubts.getFirst());
		assertThat(heard(), Matchers.not(Matchers.hasItem("doubt")));
		this.timer.execute(doubts.getLast());
		assertThat(heard(), Matchers.hasItem("doubt"));
	}

	// An entry that does not know a route says so for good only when it knows that its
	// table is new enough. What is confirmed is what the store had when it was asked, at
	// the earliest of a listing's calls, and it is said after what it confirms.
	@Test
	void aListingIsConfirmedAsOfItsFirstPage() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), true, 5));
		this.store.pages.add(new Page(List.of(item("b", 9)), false, 9));
		follow();
		Confirmed only = confirmed().getFirst();
		assertAsked(0, only.asOf());
		assertThat(only.before(), Matchers.contains("back", "all[a, b]"));
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void changesAreConfirmedAsOfTheirCall(boolean afterALostWatch) throws Exception {
		Changes changes = new Changes(List.of(new Change(item("b", 7), false)), 9);
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		if (afterALostWatch) {
			this.store.failures.add(ObjectStore.UNAVAILABLE);
			this.store.gaps.add(changes);
		}
		else {
			this.store.changes.add(changes);
		}
		follow();
		Confirmed last = confirmed().getLast();
		assertAsked(afterALostWatch ? 2 : 1, last.asOf());
		assertThat(last.before(), Matchers.contains("back", "all[a]", "+b@7"));
	}

	// The store held a watch for all its wait, so it had nothing until then; what the
	// answer took over a slow link is not counted. One that it ended early says nothing
	// of the time after it was asked, nor does one that may have been ended early and was
	// long under way.
	@ParameterizedTest
	@CsvSource({ "ENTRIES,0,false", "ROUTES,0,false", "ROUTES,999,false", "ROUTES,1000,true", "ROUTES,1100,true",
			"ROUTES,1250,true", "ROUTES,1251,false", "ROUTES,1500,false" })
	void anEmptyWatchIsConfirmedAsOfItsEnd(Kind kind, long answeredMillis, boolean held) throws Exception {
		AtomicLong now = new AtomicLong(this.startedNanos);
		this.clock = now::get;
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		Follower follower = start(kind);
		awaitScriptOver();
		long waited = this.store.waits.getLast().toNanos();
		now.addAndGet(TimeUnit.MILLISECONDS.toNanos(answeredMillis));
		this.store.waiting.complete(new Changes(List.of(), 5));
		follower.pause();
		heard();
		assertThat(confirmed().get(1).asOf() - this.startedNanos, Matchers.is(held ? waited : 0L));
	}

	// The same by the system's clock.
	@Test
	void anEmptyWatchThatComesLateIsConfirmedAsOfItsCall() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		Follower follower = start(Kind.ROUTES);
		awaitScriptOver();
		long waited = this.store.waits.getLast().toNanos();
		TimeUnit.NANOSECONDS.sleep(waited + TimeUnit.MILLISECONDS.toNanos(500));
		this.store.waiting.complete(new Changes(List.of(), 5));
		follower.pause();
		heard();
		assertAsked(1, confirmed().get(1).asOf());
	}

	// What confirms the table of routes must come well within the usual bound for a
	// declaration to be in force; and who is relied on notices a silent store sooner.
	@ParameterizedTest
	@CsvSource({ "ROUTES,false,1000", "ROUTES,true,800", "RUNNERS,false,2200", "RUNNERS,true,800", "WEIGHTS,true,800",
			"ENTRIES,false,15000", "ENTRIES,true,15000" })
	void aWatchWaitsAsLongAsItsKindMay(Kind kind, boolean relied, long millis) throws Exception {
		this.store.pages.add(new Page(List.of(), false, 5));
		start(kind).reliedOn(relied);
		for (int i = 0; i < 100 && this.store.asked.size() < 2; i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		this.store.waiting.complete(new Changes(List.of(), 5));
		for (int i = 0; i < 100 && this.store.asked.size() < 3; i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		assertThat(this.store.waits.getLast(), Matchers.is(Duration.ofMillis(millis)));
	}

}
