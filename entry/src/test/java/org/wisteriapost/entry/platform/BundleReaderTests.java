package org.wisteriapost.entry.platform;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.wisteriapost.protocol.outside.FakePlatform;
import org.wisteriapost.protocol.outside.Platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class BundleReaderTests {

	private final SlowPlatform platform = new SlowPlatform();

	private final BundleReader reader = BundleReader.of(this.platform);

	// A bundle takes seconds over a saturated link, and the entry requests it again every
	// 500 ms. With a read for each request, the copies would keep the link saturated and
	// none would arrive before the call times out.
	@Test
	void readInProgressIsShared() {
		CompletableFuture<Optional<BundleContent>> first = this.reader.read("d");
		CompletableFuture<Optional<BundleContent>> second = this.reader.read("d");
		assertThat(this.platform.reads, is(1));
		this.platform.answer.complete(Optional.empty());
		assertThat(first.join().isEmpty() && second.join().isEmpty(), is(true));
	}

	// The read may have failed, or the platform did not have the bundle yet.
	@Test
	void completedOrFailedReadIsRepeated() {
		CompletableFuture<Optional<BundleContent>> failed = this.reader.read("d");
		this.platform.answer.completeExceptionally(new IllegalStateException("scripted"));
		assertThat(failed.isCompletedExceptionally(), is(true));
		this.platform.answer = CompletableFuture
			.completedFuture(Optional.of(new Platform.Stored("bundles/d", new byte[] { 7 }, 1)));
		assertThat(this.reader.read("d").join().map((content) -> content.bytes().length), is(Optional.of(1)));
		assertThat(this.reader.read("d").join().map(BundleContent::approvals), is(Optional.of(Map.of())));
		assertThat(this.platform.reads, is(3));
	}

	/** Answers reads when the test completes them. */
	private static final class SlowPlatform implements Platform {

		private final FakePlatform fake = new FakePlatform();

		private CompletableFuture<Optional<Stored>> answer = new CompletableFuture<>();

		private int reads;

		@Override
		public CompletableFuture<Optional<Stored>> get(String key) {
			this.reads++;
			return this.answer;
		}

		@Override
		public CompletableFuture<PutResult> put(String key, byte[] value, Precondition expected) {
			return this.fake.put(key, value, expected);
		}

		@Override
		public CompletableFuture<Listing> list(String prefix) {
			return this.fake.list(prefix);
		}

		@Override
		public CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait) {
			return this.fake.watch(prefix, afterRevision, wait);
		}

		@Override
		public void close() {
		}

	}

}
