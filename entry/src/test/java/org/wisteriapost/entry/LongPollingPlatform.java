package org.wisteriapost.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.protocol.outside.FakePlatform;
import org.wisteriapost.protocol.outside.Platform;

/**
 * A thread-safe {@link FakePlatform} whose watches wait for a change.
 */
final class LongPollingPlatform implements Platform {

	private static final long POLL_MILLIS = 5;

	private final FakePlatform fake = new FakePlatform();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private Optional<FakePlatform.Fault> nextPut = Optional.empty();

	private boolean down;

	synchronized void down(boolean now) {
		this.down = now;
	}

	/** Injects a fault into the next write. */
	synchronized void nextPut(FakePlatform.Fault fault) {
		this.nextPut = Optional.of(fault);
	}

	@Override
	public synchronized CompletableFuture<Optional<Stored>> get(String key) {
		fail();
		return this.fake.get(key);
	}

	@Override
	public synchronized CompletableFuture<PutResult> put(String key, byte[] value, Precondition expected) {
		fail();
		this.nextPut.ifPresent(this.fake::failNextCalls);
		this.nextPut = Optional.empty();
		return this.fake.put(key, value, expected);
	}

	@Override
	public synchronized CompletableFuture<Listing> list(String prefix) {
		fail();
		return this.fake.list(prefix);
	}

	@Override
	public CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait) {
		CompletableFuture<Listing> future = new CompletableFuture<>();
		poll(prefix, afterRevision, System.nanoTime() + wait.toNanos(), future);
		return future;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	private synchronized void poll(String prefix, long after, long untilNanos, CompletableFuture<Listing> future) {
		Listing listing = this.fake.watch(prefix, after, Duration.ZERO).join();
		if (!listing.items().isEmpty() || System.nanoTime() - untilNanos > 0) {
			future.complete(listing);
			return;
		}
		this.timer.schedule(() -> poll(prefix, after, untilNanos, future), POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void fail() {
		if (this.down) {
			this.fake.failNextCalls(FakePlatform.Fault.DOWN);
		}
	}

}
