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
 * A follower whose call for what has changed fails.
 */
class LargeGapTests {

	private static final int MOST_SECONDS = 10;

	private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);

	private final FailingStore store = new FailingStore();

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	// A table is declared again and again while the link is full, and the store sends
	// each form of it. The answer is cut while it comes. Asked for once more it would be
	// as long or longer, and no table would ever come; the table alone is one copy. An
	// answer that has not begun says nothing of that, and the table may be the same.
	@ParameterizedTest
	@CsvSource({ "ROUTES,3200,list", "ROUTES,0,since 5", "RUNNERS,2500,since 5" })
	void whatWasCutWhileItCameIsNotAskedForAgain(Kind kind, long millis, String next) throws Exception {
		this.store.failsAfterMillis = millis;
		Follower.start(this.store, kind, this.timer, new Deaf());
		assertThat(this.store.over.await(MOST_SECONDS, TimeUnit.SECONDS), Matchers.is(true));
		assertThat(List.copyOf(this.store.asked).subList(0, 4), Matchers.contains("list", "watch 5", "since 5", next));
	}

	/** Hears nothing. */
	private static final class Deaf implements FollowListener {

		@Override
		public void onAll(List<ObjectStore.Item> items, long at) {
		}

		@Override
		public void onChange(ObjectStore.Change change) {
		}

		@Override
		public void onConfirmed(long asOfNanos) {
		}

		@Override
		public void onDoubt() {
		}

		@Override
		public void onReachable(boolean reachable) {
		}

	}

	/** Answers listings; its watches end and its answers to other calls are cut. */
	private static final class FailingStore implements ObjectStore {

		private final List<String> asked = new CopyOnWriteArrayList<>();

		private final CountDownLatch over = new CountDownLatch(4);

		private volatile long failsAfterMillis;

		private void asked(String call) {
			this.asked.add(call);
			this.over.countDown();
		}

		@Override
		public CompletableFuture<Page> list(Kind kind, Optional<String> after) {
			asked("list");
			return CompletableFuture.completedFuture(new Page(List.of(), false, 5));
		}

		@Override
		public CompletableFuture<Changes> watch(Kind kind, long revision, Duration wait) {
			asked((wait.isZero() ? "since " : "watch ") + revision);
			CompletableFuture<Changes> answer = new CompletableFuture<>();
			long millis = wait.isZero() ? this.failsAfterMillis : 0;
			CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS)
				.execute(() -> answer.completeExceptionally(CodedException.of(UNAVAILABLE, "scripted")));
			return answer;
		}

		@Override
		public Optional<Item> decode(Kind kind, byte[] content) {
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
