package org.wisteriapost.protocol.site;

import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.protocol.site.ObjectStore.Change;
import org.wisteriapost.protocol.site.ObjectStore.Changes;
import org.wisteriapost.protocol.site.ObjectStore.Page;

import static org.hamcrest.MatcherAssert.assertThat;

class StoreWatcherTests extends StoreWatcherFixture {

	// A runner changes between two pages of the listing. The watch starts at the revision
	// of the first page and returns an older change of the runner, which must not make a
	// leaving runner look ready again.
	@Test
	void changeOlderThanListingIsIgnored() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), true, 5));
		this.store.pages.add(new Page(List.of(item("b", 9)), false, 9));
		this.store.changes
			.add(new Changes(List.of(new Change(item("b", 7), false), new Change(item("b", 9), false)), 9));
		assertThat(follow(), Matchers.contains("back", "all[a, b]", "+b@9"));
	}

	// The store discards its history during a watch.
	@Test
	void missingHistoryTriggersRelisting() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.failures.add(ObjectStore.HISTORY_GONE);
		this.store.pages.add(new Page(List.of(item("c", 8)), false, 8));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[c]"));
	}

	// The watch fails, and the catch-up call reports that the history was discarded.
	@Test
	void missingHistoryAfterFailedWatchTriggersRelisting() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.failures.add(ObjectStore.UNAVAILABLE);
		this.store.failures.add(ObjectStore.HISTORY_GONE);
		this.store.pages.add(new Page(List.of(item("c", 8)), false, 8));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[c]"));
		assertThat(this.store.requests, Matchers.contains("list", "watch 5", "since 5", "list", "watch 8"));
	}

	// Listing everything after each failed watch saturates a narrow link and leaves the
	// entries behind it with stale route tables; only the changes in the gap are needed.
	@Test
	void failedWatchIsFollowedByCatchUp() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1), item("b", 2)), false, 5));
		this.store.failures.add(ObjectStore.UNAVAILABLE);
		this.store.catchUpChanges.add(new Changes(List.of(new Change(item("b", 7), false)), 9));
		assertThat(follow(), Matchers.contains("back", "all[a, b]", "+b@7"));
		assertThat(this.store.requests, Matchers.contains("list", "watch 5", "since 5", "watch 9"));
	}

	// A runner is registered and removed in a gap. Publishing both changes would send
	// requests to it after its removal.
	@Test
	void catchUpPublishesOnlyLatestChangeOfEachObject() throws Exception {
		this.store.pages.add(new Page(List.of(), false, 5));
		this.store.failures.add(ObjectStore.UNAVAILABLE);
		this.store.catchUpChanges.add(new Changes(List.of(new Change(item("a", 6), false),
				new Change(item("b", 7), false), new Change(item("a", 6), true), new Change(item("b", 9), false)), 9));
		assertThat(follow(), Matchers.contains("back", "all[]", "-a@6", "+b@9"));
	}

	// A store restored from an older copy reports no changes until it has reached the
	// requested revision again.
	@Test
	void rolledBackStoreIsRelisted() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.failures.add(ObjectStore.UNAVAILABLE);
		this.store.catchUpChanges.add(new Changes(List.of(), 3));
		this.store.pages.add(new Page(List.of(item("c", 2)), false, 3));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[c]"));
	}

	// Guards against ignoring the changes of an object that had a higher revision before
	// the store was restored.
	@Test
	void changesAfterListingOfRestoredStoreArePublished() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 38)), false, 38));
		this.store.changes.add(new Changes(List.of(), 25));
		this.store.pages.add(new Page(List.of(item("a", 20)), false, 25));
		this.store.changes.add(new Changes(List.of(new Change(item("a", 26), false)), 26));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[a]", "+a@26"));
	}

	// The store has passed the revision from which it is watched. Guards against missing
	// what it has accepted between its copy and that revision.
	@Test
	void laterEpochIsRelistedThoughItHasTheRevision() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 5)), false, 5, 1));
		this.store.changes.add(new Changes(List.of(new Change(item("b", 8), false)), 8, 2));
		this.store.pages.add(new Page(List.of(item("b", 8), item("c", 4)), false, 8, 2));
		assertThat(follow(), Matchers.contains("back", "epoch 1", "all[a]", "epoch 2", "all[b, c]"));
	}

	// The store is restored between two pages. Guards against a listing of two epochs.
	@Test
	void listingIsRestartedInLaterEpoch() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 5)), true, 9, 1));
		this.store.pages.add(new Page(List.of(item("b", 7)), false, 7, 2));
		this.store.pages.add(new Page(List.of(item("b", 7)), false, 7, 2));
		assertThat(follow(), Matchers.contains("back", "epoch 2", "all[b]"));
	}

	// Guards against an answer that was delayed since before the store was restored.
	@Test
	void answerOfEarlierEpochIsAFailedCall() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 3)), false, 3, 2));
		this.store.changes.add(new Changes(List.of(new Change(item("a", 9), false)), 9, 1));
		assertThat(follow(), Matchers.contains("back", "epoch 2", "all[a]", "lost", "back"));
	}

	// Another watch or a peer tells of the restored store. Guards against a watch that
	// waits at the store and reads on seconds later.
	@Test
	void observedEpochEndsTheWatch() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 5)), false, 5, 1));
		StoreWatcher watcher = start();
		awaitScriptFinished();
		this.store.pages.add(new Page(List.of(item("a", 3)), false, 3, 2));
		watcher.epochObserved(2);
		watcher.epochObserved(2);
		assertThat(eventsAfter(4), Matchers.contains("back", "epoch 1", "all[a]", "epoch 2", "all[a]"));
		assertThat(this.store.requests, Matchers.contains("list", "watch 5", "list", "watch 3"));
	}

	// Guards against a resumed watch that starts at a revision of another epoch, and
	// against a listing that a peer's revision of the same epoch makes unnecessary.
	@ParameterizedTest
	@CsvSource({ "1, 9, since 9", "2, 3, since 3", "0, 9, list" })
	void resumedWatchStartsAtARevisionOfItsEpoch(long peerEpoch, long peerRevision, String request) throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 5)), false, 5, 1));
		StoreWatcher watcher = start();
		awaitScriptFinished();
		watcher.pause();
		this.store.pages.add(new Page(List.of(item("a", 5)), false, 5, 1));
		watcher.resume(peerEpoch, peerRevision);
		eventsAfter(3);
		assertThat(this.store.requests.get(2), Matchers.is(request));
	}

	// The same between two watches: each watch would confirm the stale route table.
	@Test
	void storeRolledBackBetweenWatchesIsRelisted() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.changes.add(new Changes(List.of(), 3));
		this.store.pages.add(new Page(List.of(item("c", 2)), false, 3));
		assertThat(follow(), Matchers.contains("back", "all[a]", "all[c]"));
		assertThat(confirmed(), Matchers.hasSize(2));
	}

	@Test
	void outageAndRecoveryAreReportedOnce() throws Exception {
		this.store.pages.add(new Page(List.of(), false, 5));
		for (int i = 0; i < 4; i++) {
			this.store.failures.add(ObjectStore.UNAVAILABLE);
		}
		assertThat(follow(), Matchers.contains("back", "all[]", "lost", "back"));
		assertThat(this.store.requests,
				Matchers.contains("list", "watch 5", "since 5", "since 5", "since 5", "since 5", "watch 5"));
	}

	@Test
	void outageBeforeFirstListingIsFollowedByListing() throws Exception {
		this.store.listFailures = 2;
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		assertThat(follow(), Matchers.contains("lost", "back", "all[a]"));
	}

	// A peer has become leader. The response to the last watch arrives before the pause
	// can cancel it and may be older than the leader's updates: a removed runner would be
	// considered ready again.
	@Test
	void responseReceivedAfterPauseIsIgnored() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		StoreWatcher watcher = start();
		awaitScriptFinished();
		CountDownLatch busy = new CountDownLatch(1);
		this.timer.execute(() -> awaitQuietly(busy));
		watcher.pause();
		assertThat(this.store.pendingWatch.complete(new Changes(List.of(new Change(item("a", 6), false)), 6)),
				Matchers.is(true));
		busy.countDown();
		assertThat(events(), Matchers.contains("back", "all[a]"));
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// A peer has become leader. The response to a pending call would use bandwidth of a
	// link that may be saturated.
	@Test
	void pauseCancelsCallInProgress() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		StoreWatcher watcher = start();
		awaitScriptFinished();
		watcher.pause();
		assertThat(events(), Matchers.contains("back", "all[a]"));
		assertThat(this.store.pendingWatch.isCancelled(), Matchers.is(true));
	}

	// The leader has failed: the changes in between are read at once, and the store is
	// reported reachable again.
	@Test
	void resumeCatchesUpFromLastRevision() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.catchUpChanges.add(new Changes(List.of(new Change(item("b", 8), false)), 8));
		StoreWatcher watcher = start();
		awaitScriptFinished();
		watcher.pause();
		watcher.resume(ObjectStore.UNKNOWN_EPOCH, 0);
		assertThat(eventsAfter(4), Matchers.contains("back", "all[a]", "back", "+b@8"));
		assertThat(this.store.requests, Matchers.contains("list", "watch 5", "since 5", "watch 8"));
	}

	// The leader forwarded many versions of the route table. Catching up from this
	// process's own last revision would transfer all of them again over a link that may
	// be saturated.
	@Test
	void resumeSkipsRevisionsReceivedFromPeer() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		StoreWatcher watcher = start();
		awaitScriptFinished();
		watcher.pause();
		watcher.resume(ObjectStore.UNKNOWN_EPOCH, 25);
		eventsAfter(4);
		assertThat(this.store.requests, Matchers.contains("list", "watch 5", "since 25", "watch 25"));
	}

	// The listener discarded the last updates because a peer became leader, so the last
	// revision does not describe the listener's state.
	@Test
	void discardedUpdatesAreRelistedOnResume() throws Exception {
		this.store.pages.add(new Page(List.of(item("a", 1)), false, 5));
		this.store.pages.add(new Page(List.of(item("b", 8)), false, 8));
		StoreWatcher watcher = start();
		awaitScriptFinished();
		watcher.pause();
		watcher.relistOnResume();
		watcher.resume(ObjectStore.UNKNOWN_EPOCH, 0);
		assertThat(eventsAfter(4), Matchers.contains("back", "all[a]", "back", "all[b]"));
	}

}
