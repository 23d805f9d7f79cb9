package org.wisteriapost.protocol.site;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.fleet.EntryInfo;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A {@link StoreWatcher} whose catch-up call fails.
 */
class TruncatedCatchUpTests {

	private static final int TIMEOUT_SECONDS = 10;

	private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);

	private final FailingStore store = new FailingStore();

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	// The route table is declared many times while the link is saturated, and the
	// catch-up response with all versions is cut off. Another one would be at least
	// as long and never arrive; a listing has only one version. A call that failed
	// before its response started is repeated.
	@ParameterizedTest
	@CsvSource({ "ROUTES,3200,list", "ROUTES,0,since 5", "RUNNERS,2500,since 5" })
	void truncatedCatchUpIsFollowedByListing(ObjectKind kind, long millis, String next) throws Exception {
		this.store.failsAfterMillis = millis;
		StoreWatcher.start(this.store, kind, this.timer, new IgnoringListener());
		assertThat(this.store.remainingRequests.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), Matchers.is(true));
		assertThat(List.copyOf(this.store.requests).subList(0, 4),
				Matchers.contains("list", "watch 5", "since 5", next));
	}

	/** Ignores all calls. */
	private static final class IgnoringListener implements StoreListener {

		@Override
		public void onSnapshot(List<ObjectStore.Item> items, long at) {
		}

		@Override
		public void onChange(ObjectStore.Change change) {
		}

		@Override
		public void onConfirmed(long asOfNanos) {
		}

		@Override
		public void onPossiblyStale() {
		}

		@Override
		public void onReachabilityChanged(boolean reachable) {
		}

	}

	/** Answers listings; watches fail at once and catch-up calls after a delay. */
	private static final class FailingStore implements ObjectStore {

		private final List<String> requests = new CopyOnWriteArrayList<>();

		private final CountDownLatch remainingRequests = new CountDownLatch(4);

		private volatile long failsAfterMillis;

		private void requests(String call) {
			this.requests.add(call);
			this.remainingRequests.countDown();
		}

		@Override
		public CompletableFuture<Page> list(ObjectKind kind, Optional<String> after) {
			requests("list");
			return CompletableFuture.completedFuture(new Page(List.of(), false, 5));
		}

		@Override
		public CompletableFuture<Changes> watch(ObjectKind kind, long revision, Duration wait) {
			requests((wait.isZero() ? "since " : "watch ") + revision);
			CompletableFuture<Changes> answer = new CompletableFuture<>();
			long millis = wait.isZero() ? this.failsAfterMillis : 0;
			CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS)
				.execute(() -> answer.completeExceptionally(CodedException.of(UNAVAILABLE, "scripted")));
			return answer;
		}

		@Override
		public Optional<Item> decode(ObjectKind kind, byte[] content) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Void> register(EntryInfo entry) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Void> unregister(String name, long revision) {
			throw new UnsupportedOperationException();
		}

	}

}
