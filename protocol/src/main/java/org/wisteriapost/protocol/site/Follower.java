package org.wisteriapost.protocol.site;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.wisteriapost.kernel.CodedException;

/**
 * Follows one kind of a store's objects: reads all of them, then waits for changes.
 *
 * A listing takes several calls and can be overtaken by changes, so what is older than
 * what was heard of an object already is left out: without that a runner that is leaving
 * would be taken for ready again for the length of a page.
 *
 * After a watch that failed, or a pause, the changes made in the gap are asked for at
 * once. Only when the store no longer has them, or they were too much to come whole, all
 * is read again.
 */
public final class Follower {

	private static final Logger LOG = System.getLogger(Follower.class.getName());

	private static final long NOTHING = -1;

	private static final long FIRST_PAUSE_MILLIS = 60;

	private static final long LONGEST_PAUSE_MILLIS = 500;

	// The store answers in a few milliseconds when it need not wait for a change.
	private static final long ANSWER_MILLIS = 400;

	// Until a silent watch is given up after its wait, and the call after it.
	private static final long SILENCE_NANOS = Duration.ofSeconds(1).toNanos();

	// Longer than a store that is gone is waited for, so an answer that failed later was
	// cut while it came.
	private static final long BEGUN_NANOS = Duration.ofSeconds(3).toNanos();

	// An empty answer is under way for less, also between regions, unless the link is
	// full.
	private static final long UNDER_WAY_NANOS = Duration.ofMillis(250).toNanos();

	private final ObjectStore store;

	private final Kind kind;

	private final ScheduledExecutorService timer;

	private final FollowListener listener;

	private final LongSupplier clock;

	private final Map<String, Long> revisions = new HashMap<>();

	// Up to which revision all has been told, negative for nothing.
	private long told = NOTHING;

	private Optional<Boolean> reachable = Optional.empty();

	private long pauseMillis = FIRST_PAUSE_MILLIS;

	private CompletableFuture<?> call = CompletableFuture.completedFuture(null);

	// Calls that were made before the latest pause or return belong to an earlier round,
	// and what they bring may be older than what is known by now.
	private int round;

	private boolean paused;

	private boolean reliedOn;

	private boolean unanswered;

	private int lapses;

	// As of when all that was told was known last.
	private long asOfNanos;

	private Follower(ObjectStore store, Kind kind, ScheduledExecutorService timer, FollowListener listener,
			LongSupplier clock) {
		this.store = store;
		this.kind = kind;
		this.timer = timer;
		this.listener = listener;
		this.clock = clock;
		this.asOfNanos = clock.getAsLong();
	}

	/**
	 * Starts to follow a kind.
	 * @param timer its thread runs the listener, one call after the other
	 */
	public static Follower start(ObjectStore store, Kind kind, ScheduledExecutorService timer,
			FollowListener listener) {
		return start(store, kind, timer, listener, System::nanoTime);
	}

	static Follower start(ObjectStore store, Kind kind, ScheduledExecutorService timer, FollowListener listener,
			LongSupplier clock) {
		Follower follower = new Follower(store, kind, timer, listener, clock);
		timer.execute(follower::goOn);
		return follower;
	}

	/**
	 * Hears whether other processes rely on what this one follows.
	 */
	public void reliedOn(boolean relied) {
		this.timer.execute(() -> this.reliedOn = relied);
	}

	/**
	 * Makes no further call, gives the last one up and leaves out what it brings.
	 */
	public void pause() {
		this.timer.execute(() -> {
			this.paused = true;
			this.round++;
			// What nobody wants any more would still take its share of a full link.
			this.call.cancel(false);
		});
	}

	/**
	 * Hears, while it pauses, that what was told last was not taken: all is read again
	 * after the pause.
	 */
	public void forget() {
		this.timer.execute(() -> this.told = NOTHING);
	}

	/**
	 * Goes on after a pause, from where it was or from what a neighbour has passed on
	 * meanwhile: an object that changed often would else come in all its forms.
	 * @param known up to which revision all is known
	 */
	public void resume(long known) {
		this.timer.execute(() -> {
			if (this.paused) {
				this.paused = false;
				this.told = (this.told == NOTHING) ? NOTHING : Math.max(this.told, known);
				this.reachable = Optional.empty();
				this.pauseMillis = FIRST_PAUSE_MILLIS;
				goOn();
			}
		});
	}

	// Harm prevented: were all listed after each failure, the store's link would carry
	// copies of everything when it is full already, and many calls fail then. A gap
	// costs what has changed in it.
	private void goOn() {
		if (this.paused) {
			return;
		}
		if (this.told == NOTHING) {
			page(new Listing(new ArrayList<>(), NOTHING, this.clock.getAsLong()), Optional.empty());
		}
		else {
			catchUp(this.told);
		}
	}

	private void catchUp(long from) {
		int asked = this.round;
		long askedNanos = this.clock.getAsLong();
		ask(from, Duration.ZERO).whenCompleteAsync((changes, failure) -> {
			if (asked != this.round) {
				return;
			}
			if (failure != null) {
				forgetIfCut(askedNanos);
				lost("catching-up-failed", failure);
				return;
			}
			seen(true);
			if (beganAnew(changes, from)) {
				return;
			}
			latest(changes.list()).forEach(this::change);
			confirmed(askedNanos);
			told(changes, changes.at());
		}, this.timer);
	}

	// As in a listing, only what there is now: of a runner that came and went in the gap
	// nothing is said but that it is gone.
	private static Collection<ObjectStore.Change> latest(List<ObjectStore.Change> changes) {
		SequencedMap<String, ObjectStore.Change> latest = new LinkedHashMap<>();
		changes.forEach((change) -> latest.putLast(change.item().name(), change));
		return latest.values();
	}

	private void page(Listing listing, Optional<String> after) {
		int asked = this.round;
		CompletableFuture<ObjectStore.Page> answer = this.store.list(this.kind, after);
		this.call = answer;
		answer.whenCompleteAsync((page, failure) -> {
			if (asked != this.round) {
				return;
			}
			if (failure != null) {
				lost("listing-failed", failure);
				return;
			}
			seen(true);
			listing.items.addAll(page.items());
			long from = (listing.from < 0) ? page.at() : listing.from;
			if (page.more() && !page.items().isEmpty()) {
				page(new Listing(listing.items, from, listing.askedNanos), Optional.of(page.items().getLast().name()));
				return;
			}
			all(listing.items, from);
			confirmed(listing.askedNanos);
			this.told = from;
			watch(from);
		}, this.timer);
	}

	private void watch(long from) {
		int asked = this.round;
		Duration wait = this.reliedOn ? this.kind.reliedWait() : this.kind.watchWait();
		long askedNanos = this.clock.getAsLong();
		ask(from, wait).whenCompleteAsync((changes, failure) -> {
			if (asked != this.round) {
				return;
			}
			if (failure != null) {
				forgetIfCut(askedNanos + wait.toNanos());
				lapsed(failure);
				return;
			}
			seen(true);
			if (beganAnew(changes, from)) {
				return;
			}
			long asOfNanos = asOf(changes, askedNanos, wait);
			changes.list().forEach(this::change);
			confirmed(asOfNanos);
			told(changes, changes.at());
		}, this.timer);
	}

	// A store that began anew would say nothing until it is as far again.
	private boolean beganAnew(ObjectStore.Changes changes, long from) {
		boolean behind = changes.at() < from;
		if (behind) {
			this.told = NOTHING;
			goOn();
		}
		return behind;
	}

	// A store that held a watch for its whole wait had no change until the end of it. One
	// that ended it sooner may have had a change right after the call, and its answer may
	// take longer than the rest of the wait: a table would be taken for newer than it is,
	// and reject what was declared since. Over a link that carries the answer of a held
	// watch at once, one that ended sooner comes before the end; what comes long after it
	// proves nothing.
	private long asOf(ObjectStore.Changes changes, long askedNanos, Duration wait) {
		long lateNanos = this.clock.getAsLong() - askedNanos - wait.toNanos();
		boolean held = changes.list().isEmpty() && lateNanos >= 0 && lateNanos <= UNDER_WAY_NANOS;
		return held ? askedNanos + wait.toNanos() : askedNanos;
	}

	private void confirmed(long nanos) {
		this.asOfNanos = nanos;
		this.listener.onConfirmed(nanos);
	}

	private CompletableFuture<ObjectStore.Changes> ask(long from, Duration wait) {
		CompletableFuture<ObjectStore.Changes> answer = this.store.watch(this.kind, from, wait);
		this.call = answer;
		return answer;
	}

	private void told(ObjectStore.Changes changes, long at) {
		this.told = at;
		if (changes.list().isEmpty()) {
			watch(at);
			return;
		}
		int asked = this.round;
		this.timer.schedule(() -> {
			if (asked == this.round) {
				watch(at);
			}
		}, this.kind.gather().toMillis(), TimeUnit.MILLISECONDS);
	}

	private void all(List<ObjectStore.Item> items, long at) {
		Set<String> names = new HashSet<>();
		List<ObjectStore.Item> fresh = new ArrayList<>();
		for (ObjectStore.Item item : items) {
			names.add(item.name());
			long known = this.revisions.getOrDefault(item.name(), -1L);
			if (item.revision() >= known) {
				this.revisions.put(item.name(), item.revision());
			}
			fresh.add(item);
		}
		this.revisions.keySet().retainAll(names);
		this.listener.onAll(fresh, at);
	}

	private void change(ObjectStore.Change change) {
		ObjectStore.Item item = change.item();
		long known = this.revisions.getOrDefault(item.name(), -1L);
		if (item.revision() < known) {
			return;
		}
		if (change.deleted()) {
			this.revisions.remove(item.name());
		}
		else {
			this.revisions.put(item.name(), item.revision());
		}
		this.listener.onChange(change);
	}

	// The store may have cut the watch and be well, so the next call goes out at once.
	private void lapsed(Throwable failure) {
		LOG.log(Level.INFO, "watch-ended: " + this.kind + ", " + cause(failure).getMessage());
		this.unanswered = true;
		forgetIfGone(failure);
		goOn();
		if (this.reliedOn) {
			this.lapses++;
			int lapse = this.lapses;
			this.timer.schedule(() -> doubt(lapse), untilLateMillis(), TimeUnit.MILLISECONDS);
		}
	}

	// Failure: over a full link an answer takes longer than usual, and a watch that was
	// cut says nothing of the store. Said then, the doubt would make all that rely on
	// this process read themselves over the same link. What they are bound by counts from
	// what was known last, so it is soon enough to say it when a watch that is silent
	// from there on would have been given up, and the call after it.
	private long untilLateMillis() {
		long lateNanos = this.asOfNanos + this.kind.reliedWait().toNanos() + SILENCE_NANOS;
		return Math.max(ANSWER_MILLIS, TimeUnit.NANOSECONDS.toMillis(lateNanos - this.clock.getAsLong()));
	}

	// Failure: of an object that changed often the store sends all forms. Cut for their
	// size and asked for again they are as many or more, so none would ever come over a
	// full link. A listing has each object once.
	private void forgetIfCut(long dueNanos) {
		if (this.clock.getAsLong() - dueNanos > BEGUN_NANOS) {
			this.told = NOTHING;
		}
	}

	private boolean forgetIfGone(Throwable failure) {
		boolean gone = cause(failure) instanceof CodedException coded && coded.code() == ObjectStore.HISTORY_GONE;
		if (gone) {
			this.told = NOTHING;
		}
		return gone;
	}

	private void doubt(int lapse) {
		if (lapse == this.lapses && this.unanswered && this.reliedOn && !this.paused) {
			this.listener.onDoubt();
		}
	}

	private void lost(String what, Throwable failure) {
		LOG.log(Level.INFO, what + ": " + this.kind + ", " + cause(failure).getMessage());
		if (forgetIfGone(failure)) {
			goOn();
			return;
		}
		seen(false);
		int failed = this.round;
		this.timer.schedule(() -> {
			if (failed == this.round) {
				goOn();
			}
		}, this.pauseMillis, TimeUnit.MILLISECONDS);
		this.pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, this.pauseMillis * 2);
	}

	private static Throwable cause(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

	private void seen(boolean now) {
		if (now) {
			this.unanswered = false;
			this.pauseMillis = FIRST_PAUSE_MILLIS;
		}
		if (this.reachable.isEmpty() || this.reachable.get() != now) {
			this.reachable = Optional.of(now);
			LOG.log(Level.INFO, (now ? "store-regained: " : "store-lost: ") + this.kind);
			this.listener.onReachable(now);
		}
	}

	private record Listing(List<ObjectStore.Item> items, long from, long askedNanos) {
	}

}
