package org.wisteriapost.entry.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.wisteriapost.protocol.outside.Platform;

/**
 * Keeps one waiting watch on a prefix of the platform and tells all values under it after
 * each answer, also after one without a change: that one confirms them.
 */
public final class PrefixWatch implements AutoCloseable {

	private static final Logger LOG = System.getLogger(PrefixWatch.class.getName());

	// A waiting watch counts as one call, so at rest an entry costs the platform a third
	// of a read a second for each prefix; the wait also bounds how old a confirmation
	// gets.
	private static final Duration WAIT = Duration.ofSeconds(3);

	// After an outage all entries come back at once; the jitter spreads them.
	private static final long RETRY_MIN_MILLIS = 200;

	private static final long RETRY_MAX_MILLIS = 800;

	private final Platform platform;

	private final ScheduledExecutorService timer;

	private final String prefix;

	private final Consumer<Values> listener;

	private final LongSupplier clock;

	private final Map<String, byte[]> values = new HashMap<>();

	private volatile boolean closed;

	private PrefixWatch(Platform platform, ScheduledExecutorService timer, String prefix, LongSupplier clock,
			Consumer<Values> listener) {
		this.platform = platform;
		this.timer = timer;
		this.prefix = prefix;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Returns a running watch.
	 * @param clock the monotonic clock, in nanoseconds
	 */
	public static PrefixWatch start(Platform platform, ScheduledExecutorService timer, String prefix,
			LongSupplier clock, Consumer<Values> listener) {
		PrefixWatch watch = new PrefixWatch(platform, timer, prefix, clock, listener);
		watch.list();
		return watch;
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private void list() {
		if (this.closed) {
			return;
		}
		long askedNanos = this.clock.getAsLong();
		this.platform.list(this.prefix).whenComplete((listing, failure) -> {
			if (failure != null) {
				retry(failure);
				return;
			}
			this.values.clear();
			take(listing, askedNanos);
		});
	}

	private void watch(long revision) {
		if (this.closed) {
			return;
		}
		long askedNanos = this.clock.getAsLong();
		this.platform.watch(this.prefix, revision, WAIT).whenComplete((listing, failure) -> {
			if (failure != null) {
				retry(failure);
				return;
			}
			take(listing, asOf(listing, askedNanos));
		});
	}

	// A platform that held a watch for its whole wait had no change until the end of it.
	// One that ended it sooner, or with a change, may have had the next change right
	// after the call, and the answer have been under way since.
	private long asOf(Platform.Listing listing, long askedNanos) {
		long endNanos = askedNanos + WAIT.toNanos();
		boolean held = listing.items().isEmpty() && this.clock.getAsLong() - endNanos >= 0;
		return held ? endNanos : askedNanos;
	}

	private void take(Platform.Listing listing, long asOfNanos) {
		listing.items().forEach((item) -> this.values.put(item.key(), item.value()));
		this.listener.accept(new Values(this.values, asOfNanos));
		// From the timer's thread, so that answers that come at once do not nest.
		schedule(() -> watch(listing.revision()), 0);
	}

	// A watch that failed may have missed a change, so the prefix is read whole again.
	private void retry(Throwable failure) {
		LOG.log(Level.WARNING, "watch-failed: prefix " + this.prefix + ": " + failure.getMessage());
		schedule(this::list, ThreadLocalRandom.current().nextLong(RETRY_MIN_MILLIS, RETRY_MAX_MILLIS));
	}

	private void schedule(Runnable task, long millis) {
		if (!this.closed) {
			this.timer.schedule(task, millis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * All that is under a prefix.
	 *
	 * @param values by key
	 * @param asOfNanos when they were the newest, by the monotonic clock
	 */
	public record Values(Map<String, byte[]> values, long asOfNanos) {

		public Values {
			values = Map.copyOf(values);
		}

	}

}
