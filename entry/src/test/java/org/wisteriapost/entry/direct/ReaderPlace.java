package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.StoreKind;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fourteen entries of one place, of which one reads the site's store for all, in virtual
 * time.
 */
abstract class ReaderPlace {

	static final int SIZE = 14;

	private static final long STEP = Duration.ofMillis(10).toNanos();

	private static final int STEPS_PER_TICK = 10;

	// A change of the store.
	private static final int STEPS_PER_CHANGE = 20;

	// A watch of 0.8 s, 0.6 s until it is given up and 0.4 s for the call after it.
	private static final long DOUBT_NANOS = Duration.ofMillis(1800).toNanos();

	// That call is given up.
	private static final long LOST_NANOS = Duration.ofMillis(2600).toNanos();

	final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	final Map<String, Entry> entries = new LinkedHashMap<>();

	final Deque<Sent> underway = new ArrayDeque<>();

	final List<Long> revisionNanos = new ArrayList<>(List.of(0L));

	// Frames, "FROM to TO", that are lost on the way.
	final Set<String> silent = new HashSet<>();

	// The same for links that are not there.
	final Set<String> closed = new HashSet<>();

	final List<String> unbelieved = new ArrayList<>();

	long steps;

	long readNanos = Duration.ofMillis(200).toNanos();

	int mostReading;

	int wholeAnswers;

	ReaderPlace() {
		IntStream.range(0, SIZE)
			.mapToObj((i) -> "entry-" + i)
			.forEach((name) -> this.entries.put(name, new Entry(name, this.entries.size())));
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	List<Entry> others(Entry than) {
		return this.entries.values().stream().filter((entry) -> entry != than).toList();
	}

	List<Entry> order() {
		return RendezvousHashing.rank(List.copyOf(this.entries.keySet()), "store")
			.stream()
			.map(this.entries::get)
			.toList();
	}

	Entry settled() {
		this.entries.values().forEach((entry) -> entry.readAll(0));
		run(4000);
		List<Entry> reading = this.entries.values().stream().filter((entry) -> !entry.reading.rests()).toList();
		assertThat(reading, Matchers.hasSize(1));
		this.mostReading = 0;
		this.wholeAnswers = 0;
		return reading.getFirst();
	}

	void lose(Entry entry, Loss loss, Entry alone) {
		switch (loss) {
			case SILENT_TO_ONE -> this.silent.add(entry.name + " to " + alone.name);
			case CLOSED_TO_ONE -> this.closed.add(entry.name + " to " + alone.name);
			case STORE_SILENT -> entry.storeSilentNanos = now();
			case ROUTES_SILENT -> entry.routesSilentNanos = now();
			case DIES, TURNED_AWAY, FREEZES -> lose(entry, loss);
		}
	}

	void lose(Entry entry, Loss loss) {
		switch (loss) {
			case SILENT_TO_ONE, CLOSED_TO_ONE, STORE_SILENT, ROUTES_SILENT ->
				throw new IllegalArgumentException(loss.toString());
			case DIES -> entry.dead = true;
			case TURNED_AWAY -> {
				entry.turnedAway = true;
				entry.news.reachable(false);
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
			this.mostReading = Math.max(this.mostReading,
					(int) this.entries.values()
						.stream()
						.filter((entry) -> entry.runs() && !entry.turnedAway && !entry.reading.rests())
						.count());
		}
	}

	void deliver() {
		List<Sent> due = List.copyOf(this.underway);
		this.underway.clear();
		for (Sent sent : due) {
			Entry to = this.entries.get(sent.to);
			if (to.runs()) {
				to.take(sent);
			}
			else if (!to.dead) {
				this.underway.add(sent);
			}
		}
	}

	long now() {
		return this.steps * STEP;
	}

	int revision() {
		return this.revisionNanos.size() - 1;
	}

	// Who has not heard what changed half a second ago.
	List<String> behind() {
		long before = now() - Duration.ofMillis(500).toNanos();
		long known = this.revisionNanos.stream().filter((nanos) -> nanos <= before).count() - 1;
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.runs() && entry.known < known)
			.map((entry) -> entry.name + " knows " + entry.known + " of " + known)
			.toList();
	}

	/** How a reader fails. */
	enum Loss {

		/** Its links close. */
		DIES,
		/** The store does not answer it, which it says. */
		TURNED_AWAY,
		/** It says nothing for three seconds and its links stay open. */
		FREEZES,
		/** Its link to one other entry stays open and brings nothing. */
		SILENT_TO_ONE,
		/** Its link to one other entry closes. */
		CLOSED_TO_ONE,
		/** Its connections to the store stay open and bring nothing. */
		STORE_SILENT,
		/** Of the store's kinds it is answered all but the routes. */
		ROUTES_SILENT

	}

	record Sent(String from, String to, Frame frame) {
	}

	/** One entry. */
	final class Entry {

		final String name;

		final int offset;

		final StoreRole duty;

		final UpstreamSelector upstream;

		final SiteNews news;

		final StoreReading reading;

		boolean dead;

		boolean turnedAway;

		long frozenUntil;

		long storeSilentNanos = Long.MAX_VALUE;

		long routesSilentNanos = Long.MAX_VALUE;

		long longestBehindNanos;

		// The oldest that its routes have been.
		long oldestNanos;

		boolean rested;

		boolean readAll;

		long resumedNanos;

		long known;

		private Entry(String name, int offset) {
			this.name = name;
			this.offset = offset;
			this.duty = StoreRole.of(name);
			this.upstream = UpstreamSelector.of(name);
			this.news = new SiteNews(new NamedObjects(), this.duty, this.upstream, this::send, ReaderPlace.this::now,
					ReaderPlace.this.log);
			this.reading = new StoreReading(this.duty, this.news, new Following(), this::send, ReaderPlace.this.log);
		}

		boolean runs() {
			return !this.dead && now() >= this.frozenUntil;
		}

		void step() {
			if ((ReaderPlace.this.steps + this.offset) % STEPS_PER_TICK == 0) {
				Set<String> others = ReaderPlace.this.entries.values()
					.stream()
					.filter((entry) -> entry != this && !entry.dead)
					.filter((entry) -> !ReaderPlace.this.closed.contains(entry.name + " to " + this.name))
					.map((entry) -> entry.name)
					.collect(Collectors.toSet());
				this.news.tick(
						others.stream().map((other) -> new LinkedEntry(other, Distance.SAME_FAILURE_DOMAIN)).toList(),
						now());
				this.reading.tick(others, this.readAll || this.rested, now());
			}
			read();
			this.news.asOfNanos().ifPresent((asOf) -> this.oldestNanos = Math.max(this.oldestNanos, now() - asOf));
			if (this.known < revision()) {
				this.longestBehindNanos = Math.max(this.longestBehindNanos,
						now() - ReaderPlace.this.revisionNanos.get((int) this.known + 1));
			}
		}

		void storeSilent() {
			long silentNanos = now() - this.storeSilentNanos;
			if (silentNanos == DOUBT_NANOS) {
				this.news.dismiss();
			}
			if (silentNanos == LOST_NANOS) {
				this.news.reachable(false);
			}
		}

		void read() {
			if (now() >= this.storeSilentNanos) {
				storeSilent();
				return;
			}
			if (this.reading.rests()) {
				this.rested = true;
				this.readAll = false;
				return;
			}
			if (this.rested) {
				this.rested = false;
				this.resumedNanos = now();
			}
			if (this.turnedAway || now() - this.resumedNanos < ReaderPlace.this.readNanos) {
				return;
			}
			if (!this.readAll) {
				readAll(revision());
			}
			while (this.known < revision()) {
				this.known++;
				this.news.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("r", this.known), false));
			}
			if (now() < this.routesSilentNanos) {
				this.news.confirmed(now());
			}
		}

		void readAll(long at) {
			this.readAll = true;
			this.known = at;
			for (Kind kind : Kind.values()) {
				this.news.read(kind, (kind == Kind.RUNNERS) ? List.of(NamedObjects.item("r", at)) : List.of(), at);
			}
			this.news.reachable(true);
		}

		void send(String peer, Frame frame) {
			if (ReaderPlace.this.silent.contains(this.name + " to " + peer)
					|| ReaderPlace.this.closed.contains(this.name + " to " + peer)
					|| ReaderPlace.this.closed.contains(peer + " to " + this.name)) {
				return;
			}
			if (this.dead || ReaderPlace.this.entries.get(peer).dead) {
				return;
			}
			if (frame.getNews().getAll() && frame.getNews().getKind() == StoreKind.STORE_ROUTES) {
				ReaderPlace.this.wholeAnswers++;
			}
			ReaderPlace.this.underway.add(new Sent(this.name, peer, frame));
		}

		void take(Sent sent) {
			if (sent.frame.hasNewsRequest()) {
				this.news.asked(sent.from, sent.frame.getNewsRequest());
				return;
			}
			if (sent.frame.getNews().getCurrent() && !this.duty.acceptsUpdatesFrom(sent.from)
					&& !this.upstream.acceptsUpdatesFrom(sent.from)) {
				ReaderPlace.this.unbelieved.add(sent.from + " to " + this.name);
			}
			for (DirectEvent event : this.reading.heard(sent.from, sent.frame.getNews(), now())) {
				List<ObjectStore.Item> items = switch (event) {
					case DirectEvent.AllObjects all -> all.items();
					case DirectEvent.ObjectChanged changed -> List.of(changed.change().item());
					default -> throw new IllegalArgumentException(event.toString());
				};
				items.forEach((item) -> this.known = Math.max(this.known, item.revision()));
			}
		}

	}

}
