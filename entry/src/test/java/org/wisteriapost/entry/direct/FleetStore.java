package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.site.StoreWatcher;

/**
 * The store of a {@link FleetHarness} as one start of an entry reaches it, and the
 * entry's production watches, in virtual time.
 */
final class FleetStore implements ObjectStore {

	// When a call is given up whose answer is missing.
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1200);

	private static final Duration WATCH_TIMEOUT_MARGIN = Duration.ofMillis(600);

	private final FleetHarness fleet;

	private final String entry;

	private final List<Waiting> waiting = new ArrayList<>();

	private boolean silent;

	private boolean closed;

	FleetStore(FleetHarness fleet, String entry) {
		this.fleet = fleet;
		this.entry = entry;
	}

	/**
	 * Starts the watches of an entry.
	 */
	StoreWatches startWatches(Iterable<ObjectKind> kinds, Consumer<DirectEvent> events) {
		StoreWatches watches = new StoreWatches();
		kinds.forEach((kind) -> watches.add(kind, StoreWatcher.start(this, kind, new Timer(),
				DirectProcess.listener(kind, (event) -> events.accept(inVirtualTime(event))))));
		return watches;
	}

	// The watch takes the time from the machine's clock.
	private DirectEvent inVirtualTime(DirectEvent event) {
		return (event instanceof DirectEvent.StoreConfirmed confirmed)
				? new DirectEvent.StoreConfirmed(confirmed.kind(), this.fleet.now()) : event;
	}

	/** Makes all calls time out, those that wait included. */
	void setSilent(boolean silent) {
		this.silent = silent;
	}

	/** Cuts the watches that wait, as the store does when it goes away. */
	void cutWatches() {
		List.copyOf(this.waiting).forEach((watch) -> respond(() -> rejected(watch.reply)));
		this.waiting.clear();
	}

	void close() {
		this.closed = true;
		this.waiting.clear();
	}

	/** Answers the watches that wait for a change of a kind. */
	void changed(ObjectKind kind) {
		for (Waiting watch : List.copyOf(this.waiting)) {
			if (watch.kind == kind && !this.silent && this.waiting.remove(watch)) {
				answer(watch.reply, watch.kind, watch.revision);
			}
		}
	}

	@Override
	public CompletableFuture<Page> list(ObjectKind kind, Optional<String> after) {
		CompletableFuture<Page> reply = call(kind, CALL_TIMEOUT);
		respond(() -> {
			if (this.fleet.storeAway()) {
				rejected(reply);
				return;
			}
			reply.complete(new Page(this.fleet.objects().list(kind), false, this.fleet.objects().revision(),
					this.fleet.epoch(this.entry)));
		});
		return reply;
	}

	@Override
	public CompletableFuture<Changes> watch(ObjectKind kind, long revision, Duration wait) {
		CompletableFuture<Changes> reply = call(kind, wait.isZero() ? CALL_TIMEOUT : wait.plus(WATCH_TIMEOUT_MARGIN));
		respond(() -> {
			if (this.fleet.storeAway()) {
				rejected(reply);
				return;
			}
			if (revision > this.fleet.objects().revision()) {
				reply.completeExceptionally(CodedException.of(HISTORY_GONE, "revision not given out yet"));
				return;
			}
			if (wait.isZero() || !this.fleet.objects().changes(kind, revision).isEmpty()) {
				answer(reply, kind, revision);
				return;
			}
			Waiting watch = new Waiting(kind, revision, reply);
			this.waiting.add(watch);
			this.fleet.after(wait.toNanos(), () -> {
				if (!this.silent && this.waiting.remove(watch)) {
					answer(reply, kind, revision);
				}
			});
		});
		return reply;
	}

	private void answer(CompletableFuture<Changes> reply, ObjectKind kind, long revision) {
		Changes changes = new Changes(this.fleet.objects().changes(kind, revision), this.fleet.objects().revision(),
				this.fleet.epoch(this.entry));
		respond(() -> reply.complete(changes));
	}

	private static void rejected(CompletableFuture<?> reply) {
		reply.completeExceptionally(CodedException.of(UNAVAILABLE, "connection reset"));
	}

	private <T> CompletableFuture<T> call(ObjectKind kind, Duration timeout) {
		this.fleet.storeCalls.merge(kind, 1, Integer::sum);
		CompletableFuture<T> reply = new CompletableFuture<>();
		this.fleet.after(timeout.toNanos(),
				() -> reply.completeExceptionally(CodedException.of(UNAVAILABLE, "no answer in time")));
		return reply;
	}

	private void respond(Runnable response) {
		this.fleet.after(this.fleet.between(2, 12), () -> {
			if (!this.silent && !this.closed) {
				response.run();
			}
		});
	}

	@Override
	public CompletableFuture<Void> register(EntryInfo entry) {
		return new CompletableFuture<>();
	}

	@Override
	public CompletableFuture<Void> unregister(String name, long revision) {
		return new CompletableFuture<>();
	}

	@Override
	public Optional<Item> decode(ObjectKind kind, byte[] content) {
		return this.fleet.store.decode(kind, content);
	}

	private record Waiting(ObjectKind kind, long revision, CompletableFuture<Changes> reply) {
	}

	/** Runs tasks in virtual time until the entry ends. */
	private final class Timer extends ScheduledThreadPoolExecutor {

		private Timer() {
			super(1);
		}

		@Override
		public void execute(Runnable task) {
			schedule(task, 0, TimeUnit.NANOSECONDS);
		}

		@Override
		public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
			FleetStore.this.fleet.after(unit.toNanos(delay), () -> {
				if (!FleetStore.this.closed) {
					task.run();
				}
			});
			return null;
		}

	}

}
