package org.wisteriapost.protocol.site;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.wisteriapost.protocol.site.ObjectStore.Change;
import org.wisteriapost.protocol.site.ObjectStore.Item;

import static org.hamcrest.MatcherAssert.assertThat;

/** Runs a {@link StoreWatcher} against a {@link ScriptedStore}. */
abstract class StoreWatcherFixture {

	private static final int TIMEOUT_SECONDS = 10;

	Consumer<Runnable> scheduled = (command) -> {
	};

	final List<Long> delaysMillis = new CopyOnWriteArrayList<>();

	final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1) {

		@Override
		public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
			// Tasks without a delay are scheduled here as well.
			if (delay > 0) {
				StoreWatcherFixture.this.delaysMillis.add(unit.toMillis(delay));
				StoreWatcherFixture.this.scheduled.accept(command);
			}
			return super.schedule(command, delay, unit);
		}

	};

	final List<String> events = new ArrayList<>();

	final long startedNanos = System.nanoTime();

	LongSupplier clock = System::nanoTime;

	final List<Confirmed> confirmed = new ArrayList<>();

	final CompletableFuture<Void> scriptFinished = new CompletableFuture<>();

	final ScriptedStore store = new ScriptedStore(this.scriptFinished);

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	static Item item(String name, long revision) {
		return new Item(name, revision, Optional.empty(), () -> new byte[0]);
	}

	List<String> follow() throws Exception {
		start();
		awaitScriptFinished();
		return events();
	}

	// The store completes the future inside its last call, before the watcher has
	// received the future of that call. Waiting for the timer thread as well keeps
	// the test's next step, such as a pause, from overtaking it.
	void awaitScriptFinished() throws Exception {
		this.scriptFinished.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		events();
	}

	List<String> events() throws Exception {
		return CompletableFuture.supplyAsync(() -> List.copyOf(this.events), this.timer)
			.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	StoreWatcher start() {
		return start(ObjectKind.RUNNERS);
	}

	StoreWatcher start(ObjectKind kind) {
		return StoreWatcher.start(this.store, kind, this.timer, new StoreListener() {

			@Override
			public void onEpoch(long epoch) {
				StoreWatcherFixture.this.events.add("epoch " + epoch);
			}

			@Override
			public void onSnapshot(List<Item> items, long at) {
				StoreWatcherFixture.this.events.add("all" + items.stream().map(Item::name).toList());
			}

			@Override
			public void onChange(Change change) {
				StoreWatcherFixture.this.events
					.add((change.deleted() ? "-" : "+") + change.item().name() + "@" + change.item().revision());
			}

			@Override
			public void onConfirmed(long asOfNanos) {
				StoreWatcherFixture.this.confirmed
					.add(new Confirmed(asOfNanos, List.copyOf(StoreWatcherFixture.this.events)));
			}

			@Override
			public void onPossiblyStale() {
				StoreWatcherFixture.this.events.add("doubt");
			}

			@Override
			public void onReachabilityChanged(boolean reachable) {
				StoreWatcherFixture.this.events.add(reachable ? "back" : "lost");
			}

		}, this.clock);
	}

	List<String> eventsAfter(int calls) throws Exception {
		for (int i = 0; i < 100 && this.store.requests.size() < calls; i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		return events();
	}

	// Asserts that a time is between the store's receipt of the previous call and of the
	// call itself.
	void assertRequestTime(int call, long nanos) {
		long before = (call > 0) ? this.store.requestNanos.get(call - 1) : this.startedNanos;
		assertThat(nanos, Matchers.greaterThanOrEqualTo(before));
		assertThat(nanos, Matchers.lessThanOrEqualTo(this.store.requestNanos.get(call)));
	}

	List<Confirmed> confirmed() throws Exception {
		return CompletableFuture.supplyAsync(() -> List.copyOf(this.confirmed), this.timer)
			.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/** A confirmed time and the events before the confirmation. */
	record Confirmed(long confirmedNanos, List<String> precedingEvents) {
	}

}
