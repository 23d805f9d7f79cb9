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
 * Watches a prefix of the platform by long polling. Passes all values under the prefix to
 * a listener after each reply, including a reply without a change, which confirms them.
 */
public final class PrefixWatch implements AutoCloseable {

	private static final Logger LOG = System.getLogger(PrefixWatch.class.getName());

	// Without changes an entry causes one call per prefix in this time, a third of a call
	// a second. The wait also limits the staleness of a confirmation.
	private static final Duration WATCH_WAIT = Duration.ofSeconds(3);

	// The jitter spreads the retries of all entries after an outage.
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
		long requestedNanos = this.clock.getAsLong();
		this.platform.list(this.prefix).whenComplete((listing, failure) -> {
			if (failure != null) {
				retry(failure);
				return;
			}
			this.values.clear();
			publish(listing, requestedNanos);
		});
	}

	private void watch(long revision) {
		if (this.closed) {
			return;
		}
		long requestedNanos = this.clock.getAsLong();
		this.platform.watch(this.prefix, revision, WATCH_WAIT).whenComplete((listing, failure) -> {
			if (failure != null) {
				retry(failure);
				return;
			}
			publish(listing, confirmedNanos(listing, requestedNanos));
		});
	}

	// A watch that was held for its whole wait confirms that there was no change until
	// its end. One that ended earlier, or with a change, may have been answered right
	// after the request, and the reply delayed since; so it confirms only the time of
	// the request.
	private long confirmedNanos(Platform.Listing listing, long requestedNanos) {
		long endNanos = requestedNanos + WATCH_WAIT.toNanos();
		boolean held = listing.items().isEmpty() && this.clock.getAsLong() - endNanos >= 0;
		return held ? endNanos : requestedNanos;
	}

	private void publish(Platform.Listing listing, long asOfNanos) {
		listing.items().forEach((item) -> this.values.put(item.key(), item.value()));
		this.listener.accept(new Values(this.values, asOfNanos));
		// Scheduled, so that immediate replies do not recurse.
		schedule(() -> watch(listing.revision()), 0);
	}

	// A failed watch may have missed a change, so the prefix is listed again.
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
	 * All values under a prefix.
	 *
	 * @param values the values by key
	 * @param asOfNanos the time as of which they are confirmed, on the monotonic clock
	 */
	public record Values(Map<String, byte[]> values, long asOfNanos) {

		public Values {
			values = Map.copyOf(values);
		}

	}

}
