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

/** A follower of a scripted store. */
abstract class FollowerSetting {

	private static final int MOST_SECONDS = 10;

	Consumer<Runnable> scheduled = (command) -> {
	};

	final List<Long> delaysMillis = new CopyOnWriteArrayList<>();

	final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1) {

		@Override
		public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
			// What is to run at once comes here, too.
			if (delay > 0) {
				FollowerSetting.this.delaysMillis.add(unit.toMillis(delay));
				FollowerSetting.this.scheduled.accept(command);
			}
			return super.schedule(command, delay, unit);
		}

	};

	final List<String> heard = new ArrayList<>();

	final long startedNanos = System.nanoTime();

	LongSupplier clock = System::nanoTime;

	final List<Confirmed> confirmed = new ArrayList<>();

	final CompletableFuture<Void> scriptOver = new CompletableFuture<>();

	final ScriptedStore store = new ScriptedStore(this.scriptOver);

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	static Item item(String name, long revision) {
		return new Item(name, revision, Optional.empty(), () -> new byte[0]);
	}

	List<String> follow() throws Exception {
		start();
		awaitScriptOver();
		return heard();
	}

	// The store says that its script is over inside the last call, before the follower
	// has that call's answer to wait for. What a test does next must come after it, or
	// an answer that was there first could be left out by a pause that was made later.
	void awaitScriptOver() throws Exception {
		this.scriptOver.get(MOST_SECONDS, TimeUnit.SECONDS);
		heard();
	}

	List<String> heard() throws Exception {
		return CompletableFuture.supplyAsync(() -> List.copyOf(this.heard), this.timer)
			.get(MOST_SECONDS, TimeUnit.SECONDS);
	}

	Follower start() {
		return start(Kind.RUNNERS);
	}

	Follower start(Kind kind) {
		return Follower.start(this.store, kind, this.timer, new FollowListener() {

			@Override
			public void onAll(List<Item> items, long at) {
				FollowerSetting.this.heard.add("all" + items.stream().map(Item::name).toList());
			}

			@Override
			public void onChange(Change change) {
				FollowerSetting.this.heard
					.add((change.deleted() ? "-" : "+") + change.item().name() + "@" + change.item().revision());
			}

			@Override
			public void onConfirmed(long asOfNanos) {
				FollowerSetting.this.confirmed.add(new Confirmed(asOfNanos, List.copyOf(FollowerSetting.this.heard)));
			}

			@Override
			public void onDoubt() {
				FollowerSetting.this.heard.add("doubt");
			}

			@Override
			public void onReachable(boolean reachable) {
				FollowerSetting.this.heard.add(reachable ? "back" : "lost");
			}

		}, this.clock);
	}

	List<String> heardAfter(int calls) throws Exception {
		for (int i = 0; i < 100 && this.store.asked.size() < calls; i++) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		return heard();
	}

	// Between the store's hearing of the call before and of the call itself.
	void assertAsked(int call, long nanos) {
		long before = (call > 0) ? this.store.askedNanos.get(call - 1) : this.startedNanos;
		assertThat(nanos, Matchers.greaterThanOrEqualTo(before));
		assertThat(nanos, Matchers.lessThanOrEqualTo(this.store.askedNanos.get(call)));
	}

	List<Confirmed> confirmed() throws Exception {
		return CompletableFuture.supplyAsync(() -> List.copyOf(this.confirmed), this.timer)
			.get(MOST_SECONDS, TimeUnit.SECONDS);
	}

	/** What was confirmed, and what had been heard by then. */
	record Confirmed(long asOf, List<String> before) {
	}

}
