package org.wisteriapost.protocol.site;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.site.ObjectStore.Change;
import org.wisteriapost.protocol.site.ObjectStore.Changes;
import org.wisteriapost.protocol.site.ObjectStore.Item;
import org.wisteriapost.protocol.site.ObjectStore.Page;

import static org.hamcrest.MatcherAssert.assertThat;

class FollowerTests {

	private static final int MOST_SECONDS = 10;

	private Consumer<Runnable> scheduled = (command) -> {
	};

	private final List<Long> delaysMillis = new CopyOnWriteArrayList<>();

	private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1) {

		@Override
		public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
			// What is to run at once comes here, too.
			if (delay > 0) {
				FollowerTests.this.delaysMillis.add(unit.toMillis(delay));
				FollowerTests.this.scheduled.accept(command);
			}
			return super.schedule(command, delay, unit);
		}

	};

	private final List<String> heard = new ArrayList<>();

	private final long startedNanos = System.nanoTime();

	private LongSupplier clock = System::nanoTime;

	private final List<Confirmed> confirmed = new ArrayList<>();

	private final CompletableFuture<Void> scriptOver = new CompletableFuture<>();

	private final ScriptedStore store = new ScriptedStore(this.scriptOver);

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	private static Item item(String name, long revision) {
		return new Item(name, revision, Optional.empty(), () -> new byte[0]);
	}

	private List<String> follow() throws Exception {
		start();
		awaitScriptOver();
		return heard();
	}

	// The store says that its script is over inside the last call, before the follower
	// has that call's answer to wait for. What a test does next must come after it, or
	// an answer that was there first could be left out by a pause that was made later.
	private void awaitScriptOver() throws Exception {
		this.scriptOver.get(MOST_SECONDS, TimeUnit.SECONDS);
		heard();
	}

	private List<String> heard() throws Exception {
		return CompletableFuture.supplyAsync(() -> List.copyOf(this.heard), this.timer)
			.get(MOST_SECONDS, TimeUnit.SECONDS);
	}

	private Follower start() {
		return start(Kind.RUNNERS);
	}

	private Follower start(Kind kind) {
		return Follower.start(this.store, kind, this.timer, new FollowListener() {

			@Override
			public void onAll(List<Item> items, long at) {
				FollowerTests.this.heard.add("all" + items.stream().map(Item::name).toList());
			}

			@Override
			public void onChange(Change change) {
				FollowerTests.this.heard
					.add((change.deleted() ? "-" : "+") + change.item().name() + "@" + change.item().revision());
			}

			@Override
			public void onConfirmed(long asOfNanos) {
				FollowerTests.this.confirmed.add(new Confirmed(asOfNanos, List.copyOf(FollowerTests.this.heard)));
			}

			@Override
			public void onDoubt() {
				FollowerTests.this.heard.add("doubt");
			}

			@Override
			public void onReachable(boolean reachable) {
				FollowerTests.this.heard.add(reachable ? "back" : "lost");
			}

		}, this.clock);
	}

	// The listing takes two pages, and a runner changes between them. The watch goes on
	// from the first page, so it brings the change again in an older form; were that
	// believed, a runner that is leaving would be taken for ready again.
	@Test
	void anOlderChangeThanTheListingIsLeftOut() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), true, 5));
		this.store.pages.add(new Page(List.of(item("b", 9)), false, 9));
		this.store.changes
			.add(new Changes(List.of(new Change(item("b", 7), false), new Change(item("b", 9), false)), 9));
		assertThat(follow(), Matchers.contains("back", "all[a, b]", "+b@9"));
	}

	// The store forgets its history while changes are made: the watch ends with that
	// answer, and everything is read again at once.
	@Test
	void aForgottenHistoryIsFollowedByANewListing() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.failures.add(ObjectStore.HISTORY_GONE);
		this.store.pages.add(new Page(List.of(item("c", 8)), false, 8));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[c]"));
	}

	// The watch ends and its history has gone by then: only the call for the changes
	// since says so.
	@Test
	void aHistoryThatIsGoneAfterALostWatchIsFollowedByANewListing() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.failures.add(ObjectStore.UNAVAILABLE);
		this.store.failures.add(ObjectStore.HISTORY_GONE);
		this.store.pages.add(new Page(List.of(item("c", 8)), false, 8));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[c]"));
		assertThat(this.store.asked, Matchers.contains("list", "watch 5", "since 5", "list", "watch 8"));
	}

	// Entries across a narrow link saw old tables for long: a watch that ended was
	// followed by a copy of everything, for each of them, over the link that was full
	// already. What was changed in the gap is all that is missing.
	@Test
	void aLostWatchIsFollowedByTheChangesSince() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1), item("b", 2)), false, 5));
		this.store.failures.add(ObjectStore.UNAVAILABLE);
		this.store.gaps.add(new Changes(List.of(new Change(item("b", 7), false)), 9));
		assertThat(follow(), Matchers.contains("back", "all[a, b]", "+b@7"));
		assertThat(this.store.asked, Matchers.contains("list", "watch 5", "since 5", "watch 9"));
	}

	// A runner comes and goes in a gap. Said one after the other, it would be sent
	// requests though it has gone.
	@Test
	void ofAnObjectThatChangedOftenInAGapTheLatestIsSaid() throws Exception {
		this.store.pages.add(new Page(List.of(), false, 5));
		this.store.failures.add(ObjectStore.UNAVAILABLE);
		this.store.gaps.add(new Changes(List.of(new Change(item("a", 6), false), new Change(item("b", 7), false),
				new Change(item("a", 6), true), new Change(item("b", 9), false)), 9));
		assertThat(follow(), Matchers.contains("back", "all[]", "-a@6", "+b@9"));
	}

	// The store comes back from an older copy of itself, at a lower revision. It would
	// say nothing of its changes until it is as far again.
	@Test
	void aStoreThatIsBehindIsListedAgain() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.failures.add(ObjectStore.UNAVAILABLE);
		this.store.gaps.add(new Changes(List.of(), 3));
		this.store.pages.add(new Page(List.of(item("c", 2)), false, 3));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[c]"));
	}

	// The same between two watches: the old table would be confirmed again and again.
	@Test
	void aStoreThatIsBehindBetweenTwoWatchesIsListedAgain() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.changes.add(new Changes(List.of(), 3));
		this.store.pages.add(new Page(List.of(item("c", 2)), false, 3));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[c]"));
		assertThat(confirmed(), Matchers.hasSize(2));
	}

	@Test
	void anOutageIsSaidOnceAndItsEnd() throws Exception {
		this.store.pages.add(new Page(List.of(), false, 5));
		for (int i = 0; i < 4; i++) {
			this.store.failures.add(ObjectStore.UNAVAILABLE);
		}
		assertThat(follow(), Matchers.contains("back", "all[]", "lost", "back"));
		assertThat(this.store.asked,
				Matchers.contains("list", "watch 5", "since 5", "since 5", "since 5", "since 5", "watch 5"));
	}

	@Test
	void anOutageBeforeAnythingWasReadIsFollowedByAListing() throws Exception {
		this.store.listFailures = 2;
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		assertThat(follow(), Matchers.contains("lost", "back", "all[a]"));
	}

	// A neighbour reads the store now. What the last watch brings is older than what the
	// neighbour has said by then: a runner that left would be taken for ready again. It
	// is there already when the pause begins, too late for its call to be given up.
	@Test
	void whatComesAfterAPauseIsLeftOut() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		Follower follower = start();
		awaitScriptOver();
		CountDownLatch busy = new CountDownLatch(1);
		this.timer.execute(() -> awaitQuietly(busy));
		follower.pause();
		assertThat(this.store.waiting.complete(new Changes(List.of(new Change(item("a", 6), false)), 6)),
				Matchers.is(true));
		busy.countDown();
		assertThat(heard(), Matchers.contains("back", "all[a]"));
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// A neighbour reads the store now. What this one had asked for would take its share
	// of a link that may be full.
	@Test
	void aPauseGivesUpTheCallInProgress() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		Follower follower = start();
		awaitScriptOver();
		follower.pause();
		assertThat(heard(), Matchers.contains("back", "all[a]"));
		assertThat(this.store.waiting.isCancelled(), Matchers.is(true));
	}

	// The neighbour is gone: what was changed meanwhile is read at once, and that the
	// store answers is said again.
	@Test
	void afterAPauseTheChangesSinceAreRead() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.gaps.add(new Changes(List.of(new Change(item("b", 8), false)), 8));
		Follower follower = start();
		awaitScriptOver();
		follower.pause();
		follower.resume(0);
		assertThat(heardAfter(4), Matchers.contains("back", "all[a]", "back", "+b@8"));
		assertThat(this.store.asked, Matchers.contains("list", "watch 5", "since 5", "watch 8"));
	}

	// The table was declared anew ten times while a neighbour read the store and passed
	// each on. Asked for all that was changed since its own last call, the store would
	// send the table ten times over a link that may be full.
	@Test
	void whatANeighbourHasPassedOnIsNotReadAgain() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		Follower follower = start();
		awaitScriptOver();
		follower.pause();
		follower.resume(25);
		heardAfter(4);
		assertThat(this.store.asked, Matchers.contains("list", "watch 5", "since 25", "watch 25"));
	}

	// What this one read last came while a neighbour took over, and was not taken. It
	// can't be counted on as known, so all is read again.
	@Test
	void whatWasNotTakenIsReadAgain() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.pages.add(new Page(List.of(item("b", 8)), false, 8));
		Follower follower = start();
		awaitScriptOver();
		follower.pause();
		follower.forget();
		follower.resume(0);
		assertThat(heardAfter(4), Matchers.contains("back", "all[a]", "back", "all[b]"));
	}

	private List<String> heardAfter(int calls) throws Exception {
		for (int i = 0; i < 100 && this.store.asked.size() < calls; i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		return heard();
	}

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
	// that
	// rely on this process would look for another one, and read themselves over the same
	// link, though nothing is late yet: what they are bound by counts from what was known
	// last. Entries bind nobody, and come late in any case.
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
	// taken
	// for the silence after the first.
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
		assertAsked(0, only.asOf);
		assertThat(only.before, Matchers.contains("back", "all[a, b]"));
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
		assertAsked(afterALostWatch ? 2 : 1, last.asOf);
		assertThat(last.before, Matchers.contains("back", "all[a]", "+b@7"));
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
		assertThat(confirmed().get(1).asOf - this.startedNanos, Matchers.is(held ? waited : 0L));
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
		assertAsked(1, confirmed().get(1).asOf);
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

	// Between the store's hearing of the call before and of the call itself.
	private void assertAsked(int call, long nanos) {
		long before = (call > 0) ? this.store.askedNanos.get(call - 1) : this.startedNanos;
		assertThat(nanos, Matchers.greaterThanOrEqualTo(before));
		assertThat(nanos, Matchers.lessThanOrEqualTo(this.store.askedNanos.get(call)));
	}

	private List<Confirmed> confirmed() throws Exception {
		return CompletableFuture.supplyAsync(() -> List.copyOf(this.confirmed), this.timer)
			.get(MOST_SECONDS, TimeUnit.SECONDS);
	}

	/** What was confirmed, and what had been heard by then. */
	private record Confirmed(long asOf, List<String> before) {
	}

}
