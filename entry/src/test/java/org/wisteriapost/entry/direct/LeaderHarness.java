package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.LinkedEntry.Distance;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.StoreKind;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fourteen entries of one failure domain, one of which is the leader that reads the
 * site's store for all. In virtual time.
 */
abstract class LeaderHarness {

	static final int SIZE = 14;

	private static final long STEP = Duration.ofMillis(10).toNanos();

	private static final int STEPS_PER_TICK = 10;

	// The interval between changes of the store.
	private static final int STEPS_PER_CHANGE = 20;

	// A watch of 0.8 s, 0.6 s until it times out and 0.4 s for the next call.
	private static final long STORE_DOUBTFUL_NANOS = Duration.ofMillis(1800).toNanos();

	// When that call times out.
	private static final long STORE_UNREACHABLE_NANOS = Duration.ofMillis(2600).toNanos();

	final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	final Map<String, Entry> entries = new LinkedHashMap<>();

	final Deque<Sent> inTransit = new ArrayDeque<>();

	final List<Long> revisionNanos = new ArrayList<>(List.of(0L));

	// Links, as "FROM to TO", that drop all frames.
	final Set<String> droppingLinks = new HashSet<>();

	// Links that are closed, in the same form.
	final Set<String> closedLinks = new HashSet<>();

	final List<String> unsolicited = new ArrayList<>();

	long steps;

	long readNanos = Duration.ofMillis(200).toNanos();

	int maxReaders;

	int fullAnswers;

	LeaderHarness() {
		IntStream.range(0, SIZE)
			.mapToObj((i) -> "entry-" + i)
			.forEach((name) -> this.entries.put(name, new Entry(name, this.entries.size())));
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	List<Entry> othersThan(Entry excluded) {
		return this.entries.values().stream().filter((entry) -> entry != excluded).toList();
	}

	List<Entry> rankedEntries() {
		return RendezvousHashing.rank(List.copyOf(this.entries.keySet()), "store")
			.stream()
			.map(this.entries::get)
			.toList();
	}

	Entry awaitSingleLeader() {
		this.entries.values().forEach((entry) -> entry.readAll(0));
		run(4000);
		List<Entry> readers = this.entries.values().stream().filter((entry) -> !entry.controller.isFollower()).toList();
		assertThat(readers, Matchers.hasSize(1));
		this.maxReaders = 0;
		this.fullAnswers = 0;
		return readers.getFirst();
	}

	void fail(Entry entry, Failure failure, Entry affected) {
		switch (failure) {
			case SILENT_TO_ONE -> this.droppingLinks.add(entry.name + " to " + affected.name);
			case CLOSED_TO_ONE -> this.closedLinks.add(entry.name + " to " + affected.name);
			case STORE_SILENT -> entry.storeSilentNanos = now();
			case ROUTES_SILENT -> entry.routesSilentNanos = now();
			case CRASHES, REJECTED_BY_STORE, FREEZES -> fail(entry, failure);
		}
	}

	void fail(Entry entry, Failure failure) {
		switch (failure) {
			case SILENT_TO_ONE, CLOSED_TO_ONE, STORE_SILENT, ROUTES_SILENT ->
				throw new IllegalArgumentException(failure.toString());
			case CRASHES -> entry.dead = true;
			case REJECTED_BY_STORE -> {
				entry.rejectedByStore = true;
				entry.replication.storeReachable(false);
			}
			case FREEZES -> entry.frozenUntil = this.steps * STEP + Duration.ofSeconds(3).toNanos();
		}
	}

	void run(long millis) {
		for (long until = this.steps * STEP + Duration.ofMillis(millis).toNanos(); now() < until;) {
			this.steps++;
			if (this.steps % STEPS_PER_CHANGE == 0) {
				this.revisionNanos.add(now());
			}
			deliver();
			this.entries.values().stream().filter(Entry::runs).forEach(Entry::step);
			this.maxReaders = Math.max(this.maxReaders,
					(int) this.entries.values()
						.stream()
						.filter((entry) -> entry.runs() && !entry.rejectedByStore && !entry.controller.isFollower())
						.count());
		}
	}

	void deliver() {
		List<Sent> due = List.copyOf(this.inTransit);
		this.inTransit.clear();
		for (Sent sent : due) {
			Entry to = this.entries.get(sent.to);
			if (to.runs()) {
				to.receive(sent);
			}
			else if (!to.dead) {
				this.inTransit.add(sent);
			}
		}
	}

	long now() {
		return this.steps * STEP;
	}

	int revision() {
		return this.revisionNanos.size() - 1;
	}

	// The entries that lack a change of half a second ago.
	List<String> laggingEntries() {
		long before = now() - Duration.ofMillis(500).toNanos();
		long known = this.revisionNanos.stream().filter((nanos) -> nanos <= before).count() - 1;
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.runs() && entry.known < known)
			.map((entry) -> entry.name + " knows " + entry.known + " of " + known)
			.toList();
	}

	/** How a leader fails. */
	enum Failure {

		/** Its process ends and its links close. */
		CRASHES,
		/** The store does not answer it, which it reports. */
		REJECTED_BY_STORE,
		/** It sends nothing for three seconds while its links stay open. */
		FREEZES,
		/** Its link to one other entry stays open and drops all frames. */
		SILENT_TO_ONE,
		/** Its link to one other entry closes. */
		CLOSED_TO_ONE,
		/** Its connections to the store stay open without any answer. */
		STORE_SILENT,
		/** The store answers it for all kinds but the routes. */
		ROUTES_SILENT

	}

	record Sent(String from, String to, Frame frame) {
	}

	/** An entry with its replica and role. */
	final class Entry {

		final String name;

		final int offset;

		final StoreRole role;

		final UpstreamSelector upstream;

		final StoreReplication replication;

		final StoreRoleController controller;

		boolean dead;

		boolean rejectedByStore;

		long frozenUntil;

		long storeSilentNanos = Long.MAX_VALUE;

		long routesSilentNanos = Long.MAX_VALUE;

		long maxLagNanos;

		// The highest staleness of its routes.
		long maxStalenessNanos;

		boolean wasFollower;

		boolean hasReadAll;

		long resumedNanos;

		long known;

		private Entry(String name, int offset) {
			this.name = name;
			this.offset = offset;
			this.role = StoreRole.of(name);
			this.upstream = UpstreamSelector.of(name);
			this.replication = new StoreReplication(new DecodeOnlyStore(), this.role, this.upstream,
					EnumSet.allOf(ObjectKind.class), this::send, LeaderHarness.this::now, LeaderHarness.this.log);
			this.controller = new StoreRoleController(this.role, this.replication, new StoreWatches(), this::send,
					LeaderHarness.this.log);
		}

		boolean runs() {
			return !this.dead && now() >= this.frozenUntil;
		}

		void step() {
			if ((LeaderHarness.this.steps + this.offset) % STEPS_PER_TICK == 0) {
				Set<String> others = LeaderHarness.this.entries.values()
					.stream()
					.filter((entry) -> entry != this && !entry.dead)
					.filter((entry) -> !LeaderHarness.this.closedLinks.contains(entry.name + " to " + this.name))
					.map((entry) -> entry.name)
					.collect(Collectors.toSet());
				this.replication.tick(
						others.stream().map((other) -> new LinkedEntry(other, Distance.SAME_FAILURE_DOMAIN)).toList(),
						now());
				this.controller.tick(others, this.hasReadAll || this.wasFollower, now());
			}
			read();
			this.replication.routesConfirmedNanos()
				.ifPresent((asOf) -> this.maxStalenessNanos = Math.max(this.maxStalenessNanos, now() - asOf));
			if (this.known < revision()) {
				this.maxLagNanos = Math.max(this.maxLagNanos,
						now() - LeaderHarness.this.revisionNanos.get((int) this.known + 1));
			}
		}

		void storeSilent() {
			long silentNanos = now() - this.storeSilentNanos;
			if (silentNanos == STORE_DOUBTFUL_NANOS) {
				this.replication.dismissSubscribers();
			}
			if (silentNanos == STORE_UNREACHABLE_NANOS) {
				this.replication.storeReachable(false);
			}
		}

		void read() {
			if (now() >= this.storeSilentNanos) {
				storeSilent();
				return;
			}
			if (this.controller.isFollower()) {
				this.wasFollower = true;
				this.hasReadAll = false;
				return;
			}
			if (this.wasFollower) {
				this.wasFollower = false;
				this.resumedNanos = now();
			}
			if (this.rejectedByStore || now() - this.resumedNanos < LeaderHarness.this.readNanos) {
				return;
			}
			if (!this.hasReadAll) {
				readAll(revision());
			}
			while (this.known < revision()) {
				this.known++;
				this.replication.applyFromStore(ObjectKind.RUNNERS,
						new ObjectStore.Change(DecodeOnlyStore.item("r", this.known), false));
			}
			if (now() < this.routesSilentNanos) {
				this.replication.routesConfirmed(now());
			}
		}

		void readAll(long at) {
			this.hasReadAll = true;
			this.known = at;
			for (ObjectKind kind : ObjectKind.values()) {
				this.replication.applyFromStore(kind,
						(kind == ObjectKind.RUNNERS) ? List.of(DecodeOnlyStore.item("r", at)) : List.of(), at);
			}
			this.replication.storeReachable(true);
		}

		void send(String peer, Frame frame) {
			if (LeaderHarness.this.droppingLinks.contains(this.name + " to " + peer)
					|| LeaderHarness.this.closedLinks.contains(this.name + " to " + peer)
					|| LeaderHarness.this.closedLinks.contains(peer + " to " + this.name)) {
				return;
			}
			if (this.dead || LeaderHarness.this.entries.get(peer).dead) {
				return;
			}
			if (frame.getNews().getAll() && frame.getNews().getKind() == StoreKind.STORE_ROUTES) {
				LeaderHarness.this.fullAnswers++;
			}
			LeaderHarness.this.inTransit.add(new Sent(this.name, peer, frame));
		}

		void receive(Sent sent) {
			if (sent.frame.hasNewsRequest()) {
				this.replication.requestReceived(sent.from, sent.frame.getNewsRequest());
				return;
			}
			if (sent.frame.getNews().getCurrent() && !this.role.acceptsUpdatesFrom(sent.from)
					&& !this.upstream.acceptsUpdatesFrom(sent.from)) {
				LeaderHarness.this.unsolicited.add(sent.from + " to " + this.name);
			}
			for (DirectEvent event : this.controller.updateReceived(sent.from, sent.frame.getNews(), now())) {
				List<ObjectStore.Item> items = switch (event) {
					case DirectEvent.ObjectsListed all -> all.items();
					case DirectEvent.ObjectChanged changed -> List.of(changed.change().item());
					default -> throw new IllegalArgumentException(event.toString());
				};
				items.forEach((item) -> this.known = Math.max(this.known, item.revision()));
			}
		}

	}

}
