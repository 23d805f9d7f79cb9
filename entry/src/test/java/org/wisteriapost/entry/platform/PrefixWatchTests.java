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
 * A reply of the platform may be delayed for seconds. If it counted as a confirmation as
 * of its arrival, a stale bundle would look recent and requests for newer models would be
 * rejected for good.
 */
class PrefixWatchTests {

	private static final long MILLI = 1_000_000;

	private final ScriptedPlatform platform = new ScriptedPlatform();

	private final List<Long> confirmedNanos = new ArrayList<>();

	private long now = 7_000 * MILLI;

	private final long startNanos = this.now;

	@BeforeEach
	void start() {
		PrefixWatch.start(this.platform, new ImmediateExecutor(), "head", () -> this.now,
				(read) -> this.confirmedNanos.add(read.asOfNanos()));
	}

	private void answer(long millisLater, boolean changed) {
		this.now += millisLater * MILLI;
		List<Platform.Stored> items = changed ? List.of(new Platform.Stored("head", new byte[0], 1)) : List.of();
		this.platform.next.complete(new Platform.Listing(items, 1));
	}

	@Test
	void aListingIsConfirmedAsOfItsRequest() {
		answer(2500, true);
		assertThat(this.confirmedNanos, Matchers.contains(this.startNanos));
	}

	// A watch that returns a change, or ends early, may have been answered right after
	// the request. One that was held for its whole wait had no change until its end.
	@ParameterizedTest
	@CsvSource({ "0,true,0", "2500,true,0", "4000,true,0", "2999,false,0", "3000,false,3000", "5500,false,3000" })
	void aWatchIsConfirmedAsOfItsRequestOrTheEndOfItsWait(long answeredMillis, boolean changed, long asOfMillis) {
		answer(0, true);
		answer(answeredMillis, changed);
		assertThat(this.confirmedNanos, Matchers.contains(this.startNanos, this.startNanos + asOfMillis * MILLI));
	}

	// After a retry the time is that of the request which succeeded.
	@Test
	void aFailedCallConfirmsNothing() {
		CompletableFuture<Platform.Listing> failing = this.platform.next;
		this.now += 1000 * MILLI;
		failing.completeExceptionally(new IllegalStateException("scripted"));
		answer(500, true);
		assertThat(this.confirmedNanos, Matchers.contains(this.startNanos + 1000 * MILLI));
	}

	/** Answers listings and watches when the test completes them. */
	private static final class ScriptedPlatform implements Platform {

		private CompletableFuture<Listing> next = new CompletableFuture<>();

		@Override
		public CompletableFuture<Optional<Stored>> get(String key) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<PutResult> put(String key, byte[] value, Precondition expected) {
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

	/** Runs scheduled tasks immediately. */
	private static final class ImmediateExecutor extends ScheduledThreadPoolExecutor {

		private ImmediateExecutor() {
			super(1);
		}

		@Override
		public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
			task.run();
			return null;
		}

	}

}
