package org.wisteriapost.protocol.site;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.wisteriapost.kernel.CodedException;

/**
 * Reads all objects of a kind from the store, then watches for changes.
 *
 * After a failed watch or a pause, the changes since the last known revision are
 * requested at once. All objects are listed again only when the store no longer has those
 * changes, when they were too large to arrive completely, or in a later epoch of the
 * store.
 */
public final class StoreWatcher {

	private static final Logger LOG = System.getLogger(StoreWatcher.class.getName());

	private static final long NO_REVISION = -1;

	private static final long INITIAL_BACKOFF_MILLIS = 60;

	private static final long MAX_BACKOFF_MILLIS = 500;

	// The store answers within a few milliseconds unless it waits for a change.
	private static final long RESPONSE_TIMEOUT_MILLIS = 400;

	// Time from the end of a watch's wait until a silent store is detected: the
	// timeout of the watch and of the call after it.
	private static final long SILENT_WATCH_DETECTION_NANOS = Duration.ofSeconds(1).toNanos();

	// Longer than the timeout for the start of a response, so a call that fails later was
	// cut off while its response was arriving.
	private static final long TRUNCATED_RESPONSE_NANOS = Duration.ofSeconds(3).toNanos();

	// Upper bound of the network delay of an empty response, also between regions, unless
	// the link is saturated.
	private static final long MAX_RESPONSE_DELAY_NANOS = Duration.ofMillis(250).toNanos();

	private final ObjectStore store;

	private final ObjectKind kind;

	private final ScheduledExecutorService timer;

	private final StoreListener listener;

	private final LongSupplier clock;

	private final ObjectPublisher publisher;

	// Up to which revision the listener has received all changes.
	private final ReadPosition position = new ReadPosition();

	private Optional<Boolean> reachable = Optional.empty();

	private long backoffMillis = INITIAL_BACKOFF_MILLIS;

	private CompletableFuture<?> call = CompletableFuture.completedFuture(null);

	// Incremented by each pause. Responses to calls of an earlier session are ignored,
	// since newer changes may have been received from a peer meanwhile.
	private int session;

	private boolean paused;

	private boolean leader;

	private boolean unanswered;

	private int watchFailures;

	// Last time at which the published objects were confirmed to be current.
	private long confirmedNanos;

	private StoreWatcher(ObjectStore store, ObjectKind kind, ScheduledExecutorService timer, StoreListener listener,
			LongSupplier clock) {
		this.store = store;
		this.kind = kind;
		this.timer = timer;
		this.listener = listener;
		this.clock = clock;
		this.publisher = new ObjectPublisher(kind, listener);
		this.confirmedNanos = clock.getAsLong();
	}

	/**
	 * Starts to read a kind.
	 * @param timer its single thread calls the listener
	 */
	public static StoreWatcher start(ObjectStore store, ObjectKind kind, ScheduledExecutorService timer,
			StoreListener listener) {
		return start(store, kind, timer, listener, System::nanoTime);
	}

	static StoreWatcher start(ObjectStore store, ObjectKind kind, ScheduledExecutorService timer,
			StoreListener listener, LongSupplier clock) {
		StoreWatcher follower = new StoreWatcher(store, kind, timer, listener, clock);
		timer.execute(follower::continueReading);
		return follower;
	}

	/**
	 * Sets whether this process is the leader of others, which read through it.
	 */
	public void setLeader(boolean leader) {
		this.timer.execute(() -> this.leader = leader);
	}

	/**
	 * Cancels the call in progress and makes no further calls until {@link #resume}.
	 */
	public void pause() {
		this.timer.execute(() -> {
			this.paused = true;
			this.session++;
			// Its response is no longer needed and would use bandwidth of a full link.
			this.call.cancel(false);
		});
	}

	/**
	 * Makes {@link #resume} list all objects again. Called during a pause when the
	 * listener discarded the last updates.
	 */
	public void relistOnResume() {
		this.timer.execute(this.position::discard);
	}

	/**
	 * Continues after a pause, from the last revision read or received from a peer,
	 * whichever is later: the store sends every change of an object since that revision.
	 * @param peerEpoch the store's epoch according to a peer
	 * @param peerRevision up to which revision of that epoch all changes were received
	 * from a peer
	 */
	public void resume(long peerEpoch, long peerRevision) {
		this.timer.execute(() -> {
			if (this.paused) {
				this.paused = false;
				if (this.position.continueFrom(peerEpoch, peerRevision)) {
					publishEpoch();
				}
				this.reachable = Optional.empty();
				this.backoffMillis = INITIAL_BACKOFF_MILLIS;
				continueReading();
			}
		});
	}

	/**
	 * Handles an epoch that another watch or a peer has read. If it is later than that of
	 * the last listing, all objects are listed again at once.
	 */
	public void epochObserved(long observed) {
		this.timer.execute(() -> {
			if (this.position.isOutdatedBy(observed) && !this.paused) {
				this.session++;
				this.call.cancel(false);
				this.position.discard();
				continueReading();
			}
		});
	}

	private void publishEpoch() {
		LOG.log(Level.INFO, "store-epoch: " + this.kind + ", " + this.position.epoch());
		this.listener.onEpoch(this.position.epoch());
	}

	// Returns whether the answer to a call from the last revision belongs to its epoch.
	// If it does not, the objects are listed again.
	private boolean isCurrent(long answerEpoch, String event) {
		if (this.position.isOfEpoch(answerEpoch)) {
			return true;
		}
		if (failIfOutdated(answerEpoch, event)) {
			return false;
		}
		beginEpoch(answerEpoch);
		this.position.discard();
		continueReading();
		return false;
	}

	private void beginEpoch(long read) {
		if (this.position.beginEpoch(read)) {
			publishEpoch();
		}
	}

	private boolean failIfOutdated(long answerEpoch, String event) {
		boolean outdated = this.position.isOutdated(answerEpoch);
		if (outdated) {
			onCallFailed(event, CodedException.of(ObjectStore.UNAVAILABLE, "answer of earlier epoch " + answerEpoch));
		}
		return outdated;
	}

	// Many calls fail when the store's link is saturated. Listing all objects after each
	// failure would add to that load; catching up transfers only the changes.
	private void continueReading() {
		if (this.paused) {
			return;
		}
		if (!this.position.isKnown()) {
			list();
		}
		else {
			catchUp(this.position.revision());
		}
	}

	private void list() {
		listPage(new Listing(new ArrayList<>(), NO_REVISION, ObjectStore.UNKNOWN_EPOCH, this.clock.getAsLong()),
				Optional.empty());
	}

	private void catchUp(long from) {
		int requestSession = this.session;
		long requestNanos = this.clock.getAsLong();
		requestChanges(from, Duration.ZERO).whenCompleteAsync((changes, failure) -> {
			if (requestSession != this.session) {
				return;
			}
			if (failure != null) {
				relistIfTruncated(requestNanos);
				onCallFailed("catching-up-failed", failure);
				return;
			}
			if (!isCurrent(changes.epoch(), "catching-up-failed")) {
				return;
			}
			setReachable(true);
			if (relistIfRolledBack(changes, from)) {
				return;
			}
			this.publisher.publishLatest(changes.changes());
			publishConfirmed(requestNanos);
			watchAfter(changes, changes.revision());
		}, this.timer);
	}

	private void listPage(Listing listing, Optional<String> after) {
		int requestSession = this.session;
		CompletableFuture<ObjectStore.Page> answer = this.store.list(this.kind, after);
		this.call = answer;
		answer.whenCompleteAsync((page, failure) -> {
			if (requestSession != this.session) {
				return;
			}
			if (failure != null) {
				onCallFailed("listing-failed", failure);
				return;
			}
			if (failIfOutdated(page.epoch(), "listing-failed")) {
				return;
			}
			setReachable(true);
			// The store was restored between two pages.
			if (after.isPresent() && page.epoch() != listing.epoch) {
				list();
				return;
			}
			listing.items.addAll(page.items());
			long from = (listing.from < 0) ? page.revision() : listing.from;
			if (page.hasMore() && !page.items().isEmpty()) {
				listPage(new Listing(listing.items, from, page.epoch(), listing.requestNanos),
						Optional.of(page.items().getLast().name()));
				return;
			}
			beginEpoch(page.epoch());
			LOG.log(Level.INFO, "listed: " + this.kind + " at revision " + from + ", read up to "
					+ this.position.lastRevision() + " before");
			this.publisher.publishSnapshot(listing.items, from);
			publishConfirmed(listing.requestNanos);
			this.position.readUpTo(from);
			watch(from);
		}, this.timer);
	}

	private void watch(long from) {
		int requestSession = this.session;
		Duration wait = this.leader ? this.kind.leaderWatchWait() : this.kind.watchWait();
		long requestNanos = this.clock.getAsLong();
		requestChanges(from, wait).whenCompleteAsync((changes, failure) -> {
			if (requestSession != this.session) {
				return;
			}
			if (failure != null) {
				relistIfTruncated(requestNanos + wait.toNanos());
				onWatchFailed(failure);
				return;
			}
			if (!isCurrent(changes.epoch(), "watch-failed")) {
				return;
			}
			setReachable(true);
			if (relistIfRolledBack(changes, from)) {
				return;
			}
			long asOfNanos = confirmedTime(changes, requestNanos, wait);
			this.publisher.publishAll(changes.changes());
			publishConfirmed(asOfNanos);
			watchAfter(changes, changes.revision());
		}, this.timer);
	}

	// A store that states no epoch and was restored at a lower revision would report no
	// changes until it has passed the requested one.
	private boolean relistIfRolledBack(ObjectStore.Changes changes, long from) {
		boolean rolledBack = changes.revision() < from;
		if (rolledBack) {
			this.position.discard();
			continueReading();
		}
		return rolledBack;
	}

	// A watch that the store held for its full wait confirms that there was no change
	// until its end. A watch that ended sooner confirms only the time of the request:
	// there may have been a change right after it. Counting a delayed response of
	// such a watch as held would make a route table look newer than it is, and it
	// would reject requests for what was declared since. So only a response that
	// arrives shortly after the end of the wait counts as held.
	private long confirmedTime(ObjectStore.Changes changes, long requestNanos, Duration wait) {
		long lateNanos = this.clock.getAsLong() - requestNanos - wait.toNanos();
		boolean held = changes.changes().isEmpty() && lateNanos >= 0 && lateNanos <= MAX_RESPONSE_DELAY_NANOS;
		return held ? requestNanos + wait.toNanos() : requestNanos;
	}

	private void publishConfirmed(long nanos) {
		this.confirmedNanos = nanos;
		this.listener.onConfirmed(nanos);
	}

	private CompletableFuture<ObjectStore.Changes> requestChanges(long from, Duration wait) {
		CompletableFuture<ObjectStore.Changes> answer = this.store.watch(this.kind, from, wait);
		this.call = answer;
		return answer;
	}

	private void watchAfter(ObjectStore.Changes changes, long at) {
		this.position.readUpTo(at);
		if (changes.changes().isEmpty()) {
			watch(at);
			return;
		}
		int requestSession = this.session;
		this.timer.schedule(() -> {
			if (requestSession == this.session) {
				watch(at);
			}
		}, this.kind.batchDelay().toMillis(), TimeUnit.MILLISECONDS);
	}

	// The store may have closed the watch and still be available, so retry at once.
	private void onWatchFailed(Throwable failure) {
		LOG.log(Level.INFO, "watch-ended: " + this.kind + ", " + cause(failure).getMessage());
		this.unanswered = true;
		relistIfHistoryGone(failure);
		continueReading();
		if (this.leader) {
			this.watchFailures++;
			int watchFailure = this.watchFailures;
			this.timer.schedule(() -> reportPossiblyStale(watchFailure), staleWarningDelayMillis(),
					TimeUnit.MILLISECONDS);
		}
	}

	// Over a saturated link responses are slow, and a closed watch does not mean that
	// the store is unreachable. Reporting staleness at once would make all followers
	// read the store themselves over the same link. Their staleness bound counts from
	// the last confirmed time, so the report may wait until a watch that stalled at
	// that time would have timed out, and the call after it.
	private long staleWarningDelayMillis() {
		long lateNanos = this.confirmedNanos + this.kind.leaderWatchWait().toNanos() + SILENT_WATCH_DETECTION_NANOS;
		return Math.max(RESPONSE_TIMEOUT_MILLIS, TimeUnit.NANOSECONDS.toMillis(lateNanos - this.clock.getAsLong()));
	}

	// The store sends every change of an object. When a response was cut off for its
	// size, requesting the changes again would return at least as many, so none would
	// ever arrive over a saturated link. A listing has each object only once.
	private void relistIfTruncated(long expectedNanos) {
		if (this.clock.getAsLong() - expectedNanos > TRUNCATED_RESPONSE_NANOS) {
			this.position.discard();
		}
	}

	private boolean relistIfHistoryGone(Throwable failure) {
		boolean historyGone = cause(failure) instanceof CodedException coded
				&& coded.code() == ObjectStore.HISTORY_GONE;
		if (historyGone) {
			this.position.discard();
		}
		return historyGone;
	}

	private void reportPossiblyStale(int watchFailure) {
		if (watchFailure == this.watchFailures && this.unanswered && this.leader && !this.paused) {
			this.listener.onPossiblyStale();
		}
	}

	private void onCallFailed(String event, Throwable failure) {
		LOG.log(Level.INFO, event + ": " + this.kind + ", " + cause(failure).getMessage());
		if (relistIfHistoryGone(failure)) {
			continueReading();
			return;
		}
		setReachable(false);
		int failedSession = this.session;
		this.timer.schedule(() -> {
			if (failedSession == this.session) {
				continueReading();
			}
		}, this.backoffMillis, TimeUnit.MILLISECONDS);
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.backoffMillis * 2);
	}

	private static Throwable cause(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

	private void setReachable(boolean now) {
		if (now) {
			this.unanswered = false;
			this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		}
		if (this.reachable.isEmpty() || this.reachable.get() != now) {
			this.reachable = Optional.of(now);
			LOG.log(Level.INFO, (now ? "store-regained: " : "store-lost: ") + this.kind);
			this.listener.onReachabilityChanged(now);
		}
	}

	private record Listing(List<ObjectStore.Item> items, long from, long epoch, long requestNanos) {
	}

}
