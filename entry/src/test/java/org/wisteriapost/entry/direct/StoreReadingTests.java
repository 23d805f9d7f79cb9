package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries of one place before the site's store. The first by rendezvous reads for
 * both; what the other believes must be what the store says.
 */
class StoreReadingTests {

	private static final long TICK = 100_000_000;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final String readerName = RendezvousHashing.rank(List.of("a", "b"), "store").getFirst();

	private final String resterName = this.readerName.equals("a") ? "b" : "a";

	private final Entry reader = new Entry(this.readerName);

	private final Entry rester = new Entry(this.resterName);

	private boolean linked = true;

	private long now;

	StoreReadingTests() {
		this.reader.other = this.rester;
		this.rester.other = this.reader;
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private void run(int ticks) {
		for (int i = 0; i < ticks; i++) {
			this.now += TICK;
			this.reader.tick();
			this.rester.tick();
		}
	}

	private void bothRead(long at, ObjectStore.Item... runners) {
		for (Entry entry : List.of(this.reader, this.rester)) {
			for (Kind kind : Kind.values()) {
				entry.news.read(kind, (kind == Kind.RUNNERS) ? List.of(runners) : List.of(), at);
			}
			entry.news.reachable(true);
		}
	}

	@Test
	void oneReadsAndTheOtherHearsEveryChange() {
		bothRead(5, NamedObjects.item("r1", 5));
		run(15);
		assertThat(this.rester.reading.rests(), Matchers.equalTo(true));
		assertThat(this.reader.reading.rests(), Matchers.equalTo(false));
		this.reader.news.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("r2", 9), false));
		this.reader.news.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("r1", 5), true));
		assertThat(this.rester.heard, Matchers.hasItems("+r2", "-r1"));
	}

	// A runner registers while the entry that is about to rest has read it already and
	// the reader has not. Taken for gone it would stay away until it changes again, and
	// callers would be refused for want of it.
	@Test
	void whatTheReaderHasNotReadYetStays() {
		bothRead(5, NamedObjects.item("r1", 5));
		this.rester.news.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("r2", 7), false));
		run(15);
		assertThat(this.rester.heard, Matchers.hasItem("all[r1, r2]"));
	}

	// The store turns the reader away. It says so, and the other reads itself at once.
	@Test
	void whoRestsReadsAgainWhenTheReaderIsTurnedAway() {
		bothRead(5, NamedObjects.item("r1", 5));
		run(15);
		this.reader.news.reachable(false);
		assertThat(this.rester.reading.rests(), Matchers.equalTo(false));
	}

	// The reader's watch is lost and no listing has come: it may be behind without having
	// been turned away. The other reads itself, before the promises of the site bind it.
	@Test
	void whoRestsReadsAgainWhenTheReaderIsInDoubt() {
		bothRead(5, NamedObjects.item("r1", 5));
		run(15);
		this.reader.news.dismiss();
		assertThat(this.rester.reading.rests(), Matchers.equalTo(false));
	}

	// The link to the reader is open and silent.
	@Test
	void whoRestsReadsAgainWhenTheReaderIsSilent() {
		bothRead(5, NamedObjects.item("r1", 5));
		run(15);
		this.linked = false;
		run(13);
		assertThat(this.rester.reading.rests(), Matchers.equalTo(false));
	}

	@Test
	void aReaderOnWhichAnotherDependsGoesOnReading() {
		bothRead(5, NamedObjects.item("r1", 5));
		run(15);
		assertThat(this.reader.news.mayRest(), Matchers.equalTo(false));
	}

	/** One entry. */
	private final class Entry {

		private final String name;

		private final SiteNews news;

		private final StoreReading reading;

		private final List<String> heard = new ArrayList<>();

		private Entry other;

		private Entry(String name) {
			this.name = name;
			StoreRole duty = StoreRole.of(name);
			this.news = new SiteNews(new NamedObjects(), duty, UpstreamSelector.of(name), this::send,
					() -> StoreReadingTests.this.now, StoreReadingTests.this.log);
			this.reading = new StoreReading(duty, this.news, new Following(), this::send, StoreReadingTests.this.log);
		}

		private void tick() {
			this.news.tick(Set.of(LinkedEntry.unknown(this.other.name)), StoreReadingTests.this.now);
			this.reading.tick(Set.of(this.other.name), true, StoreReadingTests.this.now);
		}

		private void send(String peer, Frame frame) {
			if (!StoreReadingTests.this.linked) {
				return;
			}
			if (frame.hasNewsRequest()) {
				this.other.news.asked(this.name, frame.getNewsRequest());
				return;
			}
			this.other.reading.heard(this.name, frame.getNews(), StoreReadingTests.this.now)
				.forEach((event) -> this.other.heard.add(text(event)));
		}

		private static String text(DirectEvent event) {
			return switch (event) {
				case DirectEvent.AllObjects all ->
					"all" + all.items().stream().map(ObjectStore.Item::name).sorted().toList();
				case DirectEvent.ObjectChanged changed ->
					(changed.change().deleted() ? "-" : "+") + changed.change().item().name();
				default -> throw new IllegalArgumentException(event.toString());
			};
		}

	}

}
