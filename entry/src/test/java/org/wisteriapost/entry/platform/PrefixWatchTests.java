package org.wisteriapost.entry.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.protocol.outside.Platform;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A caller is told for good that there is no such model, which was rolled long ago. The
 * answer that confirmed the entry's bundle was seconds under way, and the bundle was
 * taken for the newest as of its coming. It is as of when the platform must have looked.
 */
class PrefixWatchTests {

	private static final long MILLI = 1_000_000;

	private final AnsweredPlatform platform = new AnsweredPlatform();

	private final List<Long> asOf = new ArrayList<>();

	private long now = 7_000 * MILLI;

	private final long begun = this.now;

	@BeforeEach
	void start() {
		PrefixWatch.start(this.platform, new AtOnce(), "head", () -> this.now,
				(read) -> this.asOf.add(read.asOfNanos()));
	}

	private void answer(long millisLater, boolean changed) {
		this.now += millisLater * MILLI;
		List<Platform.Stored> items = changed ? List.of(new Platform.Stored("head", new byte[0], 1)) : List.of();
		this.platform.next.complete(new Platform.Listing(items, 1));
	}

	@Test
	void aListingIsAsOfWhenItWasAskedFor() {
		answer(2500, true);
		assertThat(this.asOf, Matchers.contains(this.begun));
	}

	// A watch that brings a change, or ends before its time, may have been answered right
	// after it was asked. One that was held for its whole wait had no change until then.
	@ParameterizedTest
	@CsvSource({ "0,true,0", "2500,true,0", "4000,true,0", "2999,false,0", "3000,false,3000", "5500,false,3000" })
	void aWatchIsAsOfWhenItWasAskedForOrOfTheEndOfItsWait(long answeredMillis, boolean changed, long asOfMillis) {
		answer(0, true);
		answer(answeredMillis, changed);
		assertThat(this.asOf, Matchers.contains(this.begun, this.begun + asOfMillis * MILLI));
	}

	// Asked again after a failure: the moment is that of the call that was answered.
	@Test
	void aCallThatFailedCountsForNothing() {
		CompletableFuture<Platform.Listing> failing = this.platform.next;
		this.now += 1000 * MILLI;
		failing.completeExceptionally(new IllegalStateException("scripted"));
		answer(500, true);
		assertThat(this.asOf, Matchers.contains(this.begun + 1000 * MILLI));
	}

	/** Its listings and watches are answered by the test. */
	private static final class AnsweredPlatform implements Platform {

		private CompletableFuture<Listing> next = new CompletableFuture<>();

		@Override
		public CompletableFuture<Optional<Stored>> get(String key) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<PutResult> put(String key, byte[] value, Expected expected) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Listing> list(String prefix) {
			this.next = new CompletableFuture<>();
			return this.next;
		}

		@Override
		public CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait) {
			return list(prefix);
		}

		@Override
		public void close() {
		}

	}

	/** Runs at once what is due later. */
	private static final class AtOnce extends ScheduledThreadPoolExecutor {

		private AtOnce() {
			super(1);
		}

		@Override
		public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
			task.run();
			return null;
		}

	}

}
