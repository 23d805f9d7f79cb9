package org.wisteriapost.protocol.site;

import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.protocol.site.ObjectStore.Change;
import org.wisteriapost.protocol.site.ObjectStore.Changes;
import org.wisteriapost.protocol.site.ObjectStore.Page;

import static org.hamcrest.MatcherAssert.assertThat;

class FollowerTests extends FollowerSetting {

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

}
