package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries, of which one hears the store from the other over a link that leaves frames
 * out, as a full one does.
 */
class LossyNewsTests {

	private static final long TICK = 100_000_000;

	private static final double LOSS = 0.4;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final String readerName = RendezvousHashing.rank(List.of("a", "b"), "store").getFirst();

	private final String resterName = this.readerName.equals("a") ? "b" : "a";

	private final Entry reader = new Entry(this.readerName, this.resterName);

	private final Entry rester = new Entry(this.resterName, this.readerName);

	private final Map<Kind, Map<String, Long>> stored = new TreeMap<>();

	private UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1);

	private double loss;

	private Predicate<Frame> full = (frame) -> false;

	private long now;

	private long revision = 10;

	@AfterEach
	void stop() {
		this.log.close();
	}

	private void start(long seed) {
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		for (Kind kind : Kind.values()) {
			this.stored.put(kind, new TreeMap<>(Map.of("x", 5L)));
			for (Entry entry : List.of(this.reader, this.rester)) {
				entry.read(kind, List.of(NamedObjects.item("x", 5)), 5);
			}
		}
		this.reader.news.reachable(true);
		this.rester.news.reachable(true);
	}

	private void run(int ticks) {
		for (int i = 0; i < ticks; i++) {
			this.now += TICK;
			this.reader.tick();
			this.rester.tick();
			this.reader.deliverTo(this.rester);
			this.rester.deliverTo(this.reader);
		}
	}

	private void change() {
		Kind kind = Kind.values()[this.random.nextInt(Kind.values().length)];
		String name = "o" + this.random.nextInt(5);
		this.revision++;
		boolean deleted = this.stored.get(kind).containsKey(name) && this.random.nextBoolean();
		this.reader.news.read(kind, new ObjectStore.Change(NamedObjects.item(name, this.revision), deleted));
		if (deleted) {
			this.stored.get(kind).remove(name);
		}
		else {
			this.stored.get(kind).put(name, this.revision);
		}
	}

	private void changesOverALossyLink(int count) {
		this.loss = LOSS;
		for (int i = 0; i < count; i++) {
			change();
			run(1);
		}
		this.loss = 0;
		run(20);
	}

	// Callers are rejected by a route table that others have replaced long ago. The link
	// to the resting entry is full for a moment and the change is left out; the signs
	// that follow say that all is well, and the change is never said again.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aRestingEntryEndsWithWhatTheReaderHas(long seed) {
		start(seed);
		run(20);
		assertThat(this.rester.reading.rests(), Matchers.equalTo(true));
		// Losses that are short enough for the entry to go on resting.
		for (int i = 0; i < 30; i++) {
			this.loss = LOSS;
			change();
			this.loss = 0;
			run(8);
			assertThat(this.rester.reading.rests(), Matchers.equalTo(true));
		}
		run(20);
		assertThat(this.rester.objects, Matchers.equalTo(this.stored));
	}

	// The store does not answer the entry, which hears another one. Parts of the first
	// answer and changes are lost, also the requests for them.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aCutEntryEndsWithWhatTheOtherHas(long seed) {
		start(seed);
		this.rester.news.reachable(false);
		changesOverALossyLink(30);
		assertThat(this.rester.objects, Matchers.equalTo(this.stored));
	}

	// The same while the reader's watch is lost now and then and it lists again.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void aCutEntryEndsWithWhatAnEntryHasThatListsAgain(long seed) {
		start(seed);
		this.rester.news.reachable(false);
		this.loss = LOSS;
		for (int i = 0; i < 30; i++) {
			change();
			if (this.random.nextBoolean()) {
				listAgain();
			}
			run(1);
		}
		this.loss = 0;
		run(20);
		assertThat(this.rester.objects, Matchers.equalTo(this.stored));
	}

	private void listAgain() {
		Kind kind = Kind.values()[this.random.nextInt(Kind.values().length)];
		List<ObjectStore.Item> all = this.stored.get(kind)
			.entrySet()
			.stream()
			.map((one) -> NamedObjects.item(one.getKey(), one.getValue()))
			.toList();
		this.reader.news.read(kind, all, this.revision);
	}

	// The last thing that is said is lost: only the next sign can tell.
	@Test
	void aChangeThatIsLostIsHeardAtTheNextSign() {
		start(1);
		run(20);
		this.loss = 1;
		change();
		this.loss = 0;
		run(10);
		assertThat(this.rester.reading.rests(), Matchers.equalTo(true));
		assertThat(this.rester.objects, Matchers.equalTo(this.stored));
	}

	// The link has room for signs and for nothing else. The signs alone would let the
	// entry rest on an old table for good; it reads the store itself.
	@Test
	void aRestingEntryWhoseNewsStayIncompleteReadsItself() {
		start(1);
		run(20);
		this.full = (frame) -> frame.getNews().getObjectsCount() > 0;
		change();
		run(25);
		assertThat(this.rester.reading.rests(), Matchers.equalTo(false));
	}

	// The entry begins to rest while a third hears the store from it. Told nothing, that
	// one would take its signs for news and go on with an old table.
	@Test
	void whoHearsAnEntryThatStopsReadingIsToldSo() {
		start(1);
		this.rester.news.asked("third", NewsRequest.newBuilder().setWanted(true).build());
		this.rester.sent.clear();
		this.rester.news.stopReading();
		assertThat(this.rester.sent.stream().map((frame) -> frame.getNews().getCurrent()).toList(),
				Matchers.contains(false));
		assertThat(this.rester.news.reliedOn(), Matchers.equalTo(false));
	}

	// The other process is another one now and counts from one again, and frames are
	// missing just up to the number that is expected next.
	@Test
	void numbersOfAFormerLinkAreForgotten() {
		start(1);
		run(20);
		this.rester.news.linked(this.readerName);
		this.loss = 1;
		change();
		this.loss = 0;
		assertThat(this.rester.news.whole(this.readerName), Matchers.equalTo(false));
		run(5);
		assertThat(this.rester.news.whole(this.readerName), Matchers.equalTo(true));
		assertThat(this.rester.objects, Matchers.equalTo(this.stored));
	}

	// An entry of an older version does not count its frames.
	@Test
	void anEntryThatDoesNotCountIsNotAskedAgain() {
		start(1);
		run(20);
		this.rester.news.heard(this.readerName, News.newBuilder().setCurrent(true).build());
		assertThat(this.rester.news.whole(this.readerName), Matchers.equalTo(true));
	}

	/** One entry. */
	private final class Entry {

		private final String name;

		private final String other;

		private final SiteNews news;

		private final StoreReading reading;

		// What the entry believes, by kind: names with revisions.
		private final Map<Kind, Map<String, Long>> objects = new TreeMap<>();

		private final Queue<Frame> sent = new ArrayDeque<>();

		private Entry(String name, String other) {
			this.name = name;
			this.other = other;
			StoreRole duty = StoreRole.of(name);
			this.news = new SiteNews(new NamedObjects(), duty, UpstreamSelector.of(name), this::send,
					() -> LossyNewsTests.this.now, LossyNewsTests.this.log);
			this.reading = new StoreReading(duty, this.news, new Following(), this::send, LossyNewsTests.this.log);
		}

		private void read(Kind kind, List<ObjectStore.Item> all, long at) {
			this.news.read(kind, all, at);
			believe(kind, all);
		}

		private void believe(Kind kind, List<ObjectStore.Item> all) {
			Map<String, Long> known = new TreeMap<>();
			all.forEach((item) -> known.put(item.name(), item.revision()));
			this.objects.put(kind, known);
		}

		private void tick() {
			this.news.tick(List.of(LinkedEntry.unknown(this.other)), LossyNewsTests.this.now);
			this.reading.tick(List.of(this.other), true, LossyNewsTests.this.now);
		}

		private void send(String peer, Frame frame) {
			if (!LossyNewsTests.this.full.test(frame)
					&& LossyNewsTests.this.random.nextDouble() >= LossyNewsTests.this.loss) {
				this.sent.add(frame);
			}
		}

		private void deliverTo(Entry hearer) {
			List<Frame> frames = List.copyOf(this.sent);
			this.sent.clear();
			for (Frame frame : frames) {
				if (frame.hasNewsRequest()) {
					hearer.news.asked(this.name, frame.getNewsRequest());
				}
				else {
					hearer.reading.heard(this.name, frame.getNews(), LossyNewsTests.this.now).forEach(hearer::take);
				}
			}
		}

		private void take(DirectEvent event) {
			switch (event) {
				case DirectEvent.AllObjects all -> believe(all.kind(), all.items());
				case DirectEvent.ObjectChanged changed -> {
					ObjectStore.Item item = changed.change().item();
					if (changed.change().deleted()) {
						this.objects.get(changed.kind()).remove(item.name());
					}
					else {
						this.objects.get(changed.kind()).put(item.name(), item.revision());
					}
				}
				default -> throw new IllegalArgumentException(event.toString());
			}
		}

	}

}
