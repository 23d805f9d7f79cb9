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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.LinkedEntry.Distance;
import org.wisteriapost.policy.fleet.Rendezvous;
import org.wisteriapost.policy.fleet.StoreDuty;
import org.wisteriapost.policy.fleet.UpstreamChoice;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.StoreKind;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Fourteen entries of one place, of which one reads the site's store for all, in virtual
 * time. When the reader fails, the link to the store must not be filled with a copy of
 * everything for each of the others.
 */
class ReaderLossTests {

	private static final int SIZE = 14;

	private static final long STEP = Duration.ofMillis(10).toNanos();

	private static final int STEPS_PER_TICK = 10;

	// A change of the store.
	private static final int STEPS_PER_CHANGE = 20;

	private static final long SILENT_MILLIS = 1300;

	// A declaration binds after three seconds; what is left is for a request on its way.
	private static final long MOST_BEHIND_MILLIS = 2700;

	private static final long BOUND_MILLIS = 3000;

	// A watch of 0.8 s, 0.6 s until it is given up and 0.4 s for the call after it.
	private static final long DOUBT_NANOS = Duration.ofMillis(1800).toNanos();

	// That call is given up.
	private static final long LOST_NANOS = Duration.ofMillis(2600).toNanos();

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private final Deque<Sent> underway = new ArrayDeque<>();

	private final List<Long> revisionNanos = new ArrayList<>(List.of(0L));

	// Frames, "FROM to TO", that are lost on the way.
	private final Set<String> silent = new HashSet<>();

	// The same for links that are not there.
	private final Set<String> closed = new HashSet<>();

	private final List<String> unbelieved = new ArrayList<>();

	private long steps;

	private long readNanos = Duration.ofMillis(200).toNanos();

	private int mostReading;

	private int wholeAnswers;

	ReaderLossTests() {
		IntStream.range(0, SIZE)
			.mapToObj((i) -> "entry-" + i)
			.forEach((name) -> this.entries.put(name, new Entry(name, this.entries.size())));
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	// The reader dies, is turned away by the store or freezes for three seconds. The next
	// one reads, the others hear it. Were each to read, the narrow link between regions
	// would carry thirteen copies, none of which comes through in time.
	@ParameterizedTest
	@EnumSource(names = { "DIES", "TURNED_AWAY", "FREEZES" })
	void oneOrTwoReadForAReaderThatIsLost(Loss loss) {
		Entry lost = settled();
		lose(lost, loss);
		run(8000);
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(3));
		assertThat(this.wholeAnswers, Matchers.lessThanOrEqualTo(SIZE + 2));
		assertThat(behind(), Matchers.empty());
	}

	@ParameterizedTest
	@EnumSource(names = { "DIES", "TURNED_AWAY", "FREEZES" })
	void allHearTheStoreAgainSoonAfterTheLossIsNoticed(Loss loss) {
		Entry lost = settled();
		lose(lost, loss);
		run((loss == Loss.FREEZES) ? SILENT_MILLIS + 1000 : 1000);
		assertThat(behind(), Matchers.empty());
	}

	// The next reader has not come through after half a second. The others begin one
	// after
	// the other, and all hear the first that has come through.
	@ParameterizedTest
	@CsvSource({ "600,4", "1000,7" })
	void aSlowNextReaderIsNotFollowedByAllAtOnce(long readMillis, int most) {
		Entry lost = settled();
		this.readNanos = Duration.ofMillis(readMillis).toNanos();
		lose(lost, Loss.DIES);
		run(2 * readMillis + 300);
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(most));
		assertThat(behind(), Matchers.empty());
	}

	// The next reader is lost with the reader: it dies, too, or the store turns it away.
	@ParameterizedTest
	@EnumSource(names = { "DIES", "TURNED_AWAY", "FREEZES" })
	void theOneAfterItReadsWhenTheNextIsLostToo(Loss loss) {
		Entry first = settled();
		lose(first, loss);
		run((loss == Loss.FREEZES) ? SILENT_MILLIS : 100);
		Entry next = this.entries.values()
			.stream()
			.filter((entry) -> entry != first && !entry.reading.rests())
			.findFirst()
			.orElseThrow();
		lose(next, loss);
		run((loss == Loss.FREEZES) ? SILENT_MILLIS + 1200 : 1200);
		assertThat(behind(), Matchers.empty());
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(5));
	}

	// At the end nobody sends to one that does not want it: it would go on for ever, and
	// the sender, with somebody to tell, would never rest.
	@ParameterizedTest
	@EnumSource(names = { "DIES", "TURNED_AWAY", "FREEZES" })
	void nobodyPassesOnWhatIsNotWanted(Loss loss) {
		Entry lost = settled();
		lose(lost, loss);
		run(8000);
		this.unbelieved.clear();
		run(2000);
		assertThat(this.unbelieved, Matchers.empty());
	}

	// The same when the loss was noticed late, so that little is left of the bound: all
	// at
	// once would fill a link that is narrow for one already.
	@ParameterizedTest
	@CsvSource({ "FREEZES,1000,7", "FREEZES,1500,10", "STORE_SILENT,1000,7", "STORE_SILENT,1500,10" })
	void aSlowNextReaderIsNotFollowedByAllAtOnceWhenLittleTimeIsLeft(Loss loss, long readMillis, int most) {
		Entry lost = settled();
		this.readNanos = Duration.ofMillis(readMillis).toNanos();
		lose(lost, loss, lost);
		run(8000);
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(most));
		assertThat(behind(), Matchers.empty());
	}

	// The next readers hear the reader well, so this entry alone has lost it, and waits
	// for
	// nobody. Three of them are cut off from the store themselves and know nothing.
	@ParameterizedTest
	@CsvSource({ "SILENT_TO_ONE,0,2000", "CLOSED_TO_ONE,0,2000", "SILENT_TO_ONE,1,2300", "SILENT_TO_ONE,3,2700" })
	void whoAloneLosesItsReaderDoesNotWaitForASuccessor(Loss loss, int successorsTurnedAway, long mostMillis) {
		Entry reader = settled();
		List<Entry> order = order();
		List<Entry> turnedAway = order.subList(1, successorsTurnedAway + 1);
		turnedAway.forEach((entry) -> this.silent.add(reader.name + " to " + entry.name));
		turnedAway.forEach((entry) -> lose(entry, Loss.TURNED_AWAY));
		run(4000);
		order.getLast().longestBehindNanos = 0;
		lose(reader, loss, order.getLast());
		run(5000);
		assertThat(order.getLast().longestBehindNanos / 1_000_000, Matchers.lessThan(mostMillis));
	}

	// The store answers the reader for runners, and its reading of routes never ends: its
	// signs go on. Who rests would keep a table for ever, with routes that were moved and
	// tokens that were taken away.
	@Test
	void aReaderWhoseRoutesGrowOldIsLeft() {
		Entry reader = settled();
		this.entries.values().forEach((entry) -> entry.oldestNanos = 0);
		lose(reader, Loss.ROUTES_SILENT, reader);
		run(9000);
		assertThat(others(reader).stream().map((entry) -> entry.oldestNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(BOUND_MILLIS)));
		assertThat(others(reader).stream().map((entry) -> entry.longestBehindNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(1000L)));
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(3));
	}

	// The link to the store is so full that nobody's reading of routes ends. Were all to
	// read, it would stay full for good.
	@Test
	void readersWhoseRoutesAllGrowOldAreNotFollowedByAll() {
		settled();
		this.entries.values().forEach((entry) -> entry.routesSilentNanos = now());
		run(12_000);
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(5));
		assertThat(behind(), Matchers.empty());
	}

	// The reader froze and another one reads for all. Both are paid for, so all hear one
	// again some seconds after the first one is back, and nobody is without news
	// meanwhile.
	@Test
	void afterAReaderHasFrozenThereIsOneAgain() {
		Entry first = settled();
		lose(first, Loss.FREEZES);
		run(8000);
		this.entries.values().forEach((entry) -> entry.longestBehindNanos = 0);
		run(8000);
		assertThat(this.entries.values().stream().filter((entry) -> !entry.reading.rests()).toList(),
				Matchers.hasSize(1));
		assertThat(this.entries.values().stream().map((entry) -> entry.longestBehindNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(500L)));
		this.unbelieved.clear();
		run(2000);
		assertThat(this.unbelieved, Matchers.empty());
	}

	private List<Entry> others(Entry than) {
		return this.entries.values().stream().filter((entry) -> entry != than).toList();
	}

	private List<Entry> order() {
		return Rendezvous.order(List.copyOf(this.entries.keySet()), "store").stream().map(this.entries::get).toList();
	}

	// One entry alone loses its reader, or with it those that are to read next. It
	// reaches
	// the store all the while, so what is declared binds it: handled by an old table a
	// request goes to the old service, or runs with a token that was taken away.
	@ParameterizedTest
	@CsvSource({ "SILENT_TO_ONE,0,1", "SILENT_TO_ONE,0,5", "SILENT_TO_ONE,0,13", "SILENT_TO_ONE,1,13",
			"SILENT_TO_ONE,4,13", "SILENT_TO_ONE,12,13", "CLOSED_TO_ONE,0,13", "CLOSED_TO_ONE,4,13", "FREEZES,0,13",
			"FREEZES,1,13", "FREEZES,4,13", "STORE_SILENT,0,1", "STORE_SILENT,0,13", "STORE_SILENT,1,13",
			"STORE_SILENT,4,13" })
	void whoReachesTheStoreIsNeverWithoutNewsForTheBound(Loss loss, int successorsSilent, int rank) {
		Entry reader = settled();
		List<Entry> order = order();
		assertThat(order.getFirst(), Matchers.sameInstance(reader));
		Entry alone = order.get(rank);
		order.subList(1, successorsSilent + 1).forEach((entry) -> this.silent.add(entry.name + " to " + alone.name));
		this.entries.values().forEach((entry) -> entry.longestBehindNanos = 0);
		lose(reader, loss, alone);
		run(8000);
		List<Entry> bound = this.entries.values().stream().filter((entry) -> entry != reader).toList();
		assertThat(bound.stream().map((entry) -> entry.longestBehindNanos / 1_000_000).toList(),
				Matchers.everyItem(Matchers.lessThan(MOST_BEHIND_MILLIS)));
		assertThat(this.mostReading, Matchers.lessThanOrEqualTo(5));
	}

	private Entry settled() {
		this.entries.values().forEach((entry) -> entry.readAll(0));
		run(4000);
		List<Entry> reading = this.entries.values().stream().filter((entry) -> !entry.reading.rests()).toList();
		assertThat(reading, Matchers.hasSize(1));
		this.mostReading = 0;
		this.wholeAnswers = 0;
		return reading.getFirst();
	}

	private void lose(Entry entry, Loss loss, Entry alone) {
		switch (loss) {
			case SILENT_TO_ONE -> this.silent.add(entry.name + " to " + alone.name);
			case CLOSED_TO_ONE -> this.closed.add(entry.name + " to " + alone.name);
			case STORE_SILENT -> entry.storeSilentNanos = now();
			case ROUTES_SILENT -> entry.routesSilentNanos = now();
			case DIES, TURNED_AWAY, FREEZES -> lose(entry, loss);
		}
	}

	private void lose(Entry entry, Loss loss) {
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

	private void run(long millis) {
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

	private void deliver() {
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

	private long now() {
		return this.steps * STEP;
	}

	private int revision() {
		return this.revisionNanos.size() - 1;
	}

	// Who has not heard what changed half a second ago.
	private List<String> behind() {
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

	private record Sent(String from, String to, Frame frame) {
	}

	/** One entry. */
	private final class Entry {

		private final String name;

		private final int offset;

		private final StoreDuty duty;

		private final UpstreamChoice upstream;

		private final SiteNews news;

		private final StoreReading reading;

		private boolean dead;

		private boolean turnedAway;

		private long frozenUntil;

		private long storeSilentNanos = Long.MAX_VALUE;

		private long routesSilentNanos = Long.MAX_VALUE;

		private long longestBehindNanos;

		// The oldest that its routes have been.
		private long oldestNanos;

		private boolean rested;

		private boolean readAll;

		private long resumedNanos;

		private long known;

		private Entry(String name, int offset) {
			this.name = name;
			this.offset = offset;
			this.duty = StoreDuty.of(name);
			this.upstream = UpstreamChoice.of(name);
			this.news = new SiteNews(new NamedObjects(), this.duty, this.upstream, this::send,
					ReaderLossTests.this::now, ReaderLossTests.this.log);
			this.reading = new StoreReading(this.duty, this.news, new Following(), this::send,
					ReaderLossTests.this.log);
		}

		private boolean runs() {
			return !this.dead && now() >= this.frozenUntil;
		}

		private void step() {
			if ((ReaderLossTests.this.steps + this.offset) % STEPS_PER_TICK == 0) {
				Set<String> others = ReaderLossTests.this.entries.values()
					.stream()
					.filter((entry) -> entry != this && !entry.dead)
					.filter((entry) -> !ReaderLossTests.this.closed.contains(entry.name + " to " + this.name))
					.map((entry) -> entry.name)
					.collect(Collectors.toSet());
				this.news.tick(others.stream().map((other) -> new LinkedEntry(other, Distance.OWN_PLACE)).toList(),
						now());
				this.reading.tick(others, this.readAll || this.rested, now());
			}
			read();
			this.news.asOfNanos().ifPresent((asOf) -> this.oldestNanos = Math.max(this.oldestNanos, now() - asOf));
			if (this.known < revision()) {
				this.longestBehindNanos = Math.max(this.longestBehindNanos,
						now() - ReaderLossTests.this.revisionNanos.get((int) this.known + 1));
			}
		}

		private void storeSilent() {
			long silentNanos = now() - this.storeSilentNanos;
			if (silentNanos == DOUBT_NANOS) {
				this.news.dismiss();
			}
			if (silentNanos == LOST_NANOS) {
				this.news.reachable(false);
			}
		}

		private void read() {
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
			if (this.turnedAway || now() - this.resumedNanos < ReaderLossTests.this.readNanos) {
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

		private void readAll(long at) {
			this.readAll = true;
			this.known = at;
			for (Kind kind : Kind.values()) {
				this.news.read(kind, (kind == Kind.RUNNERS) ? List.of(NamedObjects.item("r", at)) : List.of(), at);
			}
			this.news.reachable(true);
		}

		private void send(String peer, Frame frame) {
			if (ReaderLossTests.this.silent.contains(this.name + " to " + peer)
					|| ReaderLossTests.this.closed.contains(this.name + " to " + peer)
					|| ReaderLossTests.this.closed.contains(peer + " to " + this.name)) {
				return;
			}
			if (this.dead || ReaderLossTests.this.entries.get(peer).dead) {
				return;
			}
			if (frame.getNews().getAll() && frame.getNews().getKind() == StoreKind.STORE_ROUTES) {
				ReaderLossTests.this.wholeAnswers++;
			}
			ReaderLossTests.this.underway.add(new Sent(this.name, peer, frame));
		}

		private void take(Sent sent) {
			if (sent.frame.hasNewsRequest()) {
				this.news.asked(sent.from, sent.frame.getNewsRequest());
				return;
			}
			if (sent.frame.getNews().getCurrent() && !this.duty.believes(sent.from)
					&& !this.upstream.believes(sent.from)) {
				ReaderLossTests.this.unbelieved.add(sent.from + " to " + this.name);
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
